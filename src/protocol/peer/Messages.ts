/**
 * Messages between daemons. Each is defined by the shapes of its fields; the wire form is
 * `[kind, fields…]` in msgpack, so field names are not sent.
 */
import { SUMMARY_DOMAINS_LIMIT, SUMMARY_ENTRIES_LIMIT } from "../../coordination/summary/index.js";
import type { MeshSummary } from "../../coordination/summary/index.js";
import { DIGEST_BUCKETS, MemberState } from "../../state/members/index.js";
import type { Member } from "../../state/members/index.js";
import {
    booleanShape,
    createChoiceShape,
    createIntegerShape,
    createListShape,
    createOptionalShape,
    createRecordShape,
    createTextShape,
    MessageError,
} from "./Shape.js";
import type { RecordOf, Shape } from "./Shape.js";

const NAME_LIMIT = 256;
const PORT_LIMIT = 65_535;
const LIST_LIMIT = 4_096;
const CONTENT_LIMIT = 1_048_576;
const DETAIL_LIMIT = 512;

const name = createTextShape(NAME_LIMIT);
const hash = createTextShape(128);
const detail = createTextShape(DETAIL_LIMIT);
const integer = createIntegerShape();
const port = createIntegerShape(PORT_LIMIT);

const server = createRecordShape({ service: name, address: name, port, slots: integer, connections: integer });

/** Shape of a member record. */
export const memberShape = createRecordShape({
    id: name,
    address: name,
    peerPort: port,
    relayPort: port,
    failureDomain: name,
    region: name,
    incarnation: integer,
    revision: integer,
    state: createChoiceShape(Object.values(MemberState)),
    server: createOptionalShape(server),
}) as unknown as Shape<Member>;

/** Why a connection was opened. */
export const LinkRole = {
    /** The connecting daemon becomes a child of the accepting one. */
    Child: "child",
    /** Two region relays. */
    Relay: "relay",
    /** Digest comparison between members of one failure domain. */
    Neighbour: "neighbour",
    /** Single questions: is the daemon alive, what version does its domain hold. */
    Query: "query",
} as const;
export type LinkRole = (typeof LinkRole)[keyof typeof LinkRole];

const candidate = createRecordShape({ address: name, peerPort: port });
/** Address at which a daemon may be reached. */
export type Candidate = RecordOf<{ address: typeof name; peerPort: typeof port; }>;

const cutOffDomain = createRecordShape({ domain: name, since: integer });
export interface CutOffDomain {
    readonly domain: string;
    /** Time of the observer's clock, milliseconds. */
    readonly since: number;
}

const versionCounts = createListShape(createRecordShape({ version: integer, daemons: integer }), SUMMARY_ENTRIES_LIMIT);
const domainCount = createRecordShape({ failureDomain: name, daemons: integer, versions: versionCounts });

const summary = createRecordShape({
    daemons: integer,
    unsettled: integer,
    versions: versionCounts,
    waiting: createListShape(createRecordShape({ reason: detail, daemons: integer }), SUMMARY_ENTRIES_LIMIT),
    controlBytes: integer,
    controlBytesAcrossRegions: integer,
    failureDomains: createOptionalShape(createListShape(domainCount, SUMMARY_DOMAINS_LIMIT)),
}) as unknown as Shape<MeshSummary>;

const FIELDS = {
    hello: {
        id: name,
        region: name,
        failureDomain: name,
        role: createChoiceShape(Object.values(LinkRole)),
        nonce: hash,
    },
    challenge: { id: name, region: name, failureDomain: name, nonce: hash, proof: hash },
    proof: { proof: hash },
    welcome: {},
    /** The daemon takes no more links, or is stopping: try these instead. */
    redirect: { candidates: createListShape(candidate, 32), stopping: booleanShape },
    /** Sent when nothing else was; carries the domains cut off as the sender knows them. */
    beat: { cutOff: createListShape(cutOffDomain, 256) },
    members: { records: createListShape(memberShape, LIST_LIMIT), services: createListShape(name, LIST_LIMIT) },
    suspect: { id: name, incarnation: integer },
    digest: {
        version: integer,
        released: integer,
        services: integer,
        domains: createListShape(createRecordShape({ domain: name, hash: integer }), 256),
    },
    buckets: { domain: name, hashes: createListShape(integer, DIGEST_BUCKETS) },
    bucketRecords: {
        domain: name,
        buckets: createListShape(createIntegerShape(DIGEST_BUCKETS - 1), DIGEST_BUCKETS),
        records: createListShape(memberShape, LIST_LIMIT),
        /** Whether the receiver answers with what the sender lacks. */
        wantsAnswer: booleanShape,
    },
    /** Version that the sender holds whole; asks for a newer one when `wants` is set. */
    have: { version: integer, root: hash, wants: booleanShape },
    /** Resources that lead from `fromRoot` (empty: from nothing) to the manifest's root. */
    update: {
        manifestKey: name,
        manifest: createRecordShape({
            version: integer,
            root: hash,
            previous: createOptionalShape(name),
            parts: createListShape(hash, LIST_LIMIT),
            author: detail,
            time: integer,
            message: createTextShape(4_096),
            mac: hash,
        }),
        fromRoot: createTextShape(128),
        changed: createListShape(createRecordShape({ name, content: createTextShape(CONTENT_LIMIT), hash }), 65_536),
        removed: createListShape(name, 65_536),
        /** Position among the messages of one update, and their number. */
        part: integer,
        parts: createIntegerShape(1_024),
    },
    domainHolds: { version: integer, domain: name },
    release: { version: integer, witnessed: booleanShape },
    floorRequest: { request: integer, forwarded: booleanShape },
    /** `floor` is absent when nobody on the way could read the store. */
    floorAnswer: { request: integer, floor: createOptionalShape(integer) },
    domainFloorRequest: { request: integer },
    domainFloorAnswer: {
        request: integer,
        isSettledRelay: booleanShape,
        version: integer,
        domains: createListShape(name, 256),
    },
    summary: { summary },
    statusRequest: { request: integer },
    statusAnswer: { request: integer, summary: createOptionalShape(summary) },
} as const;

type FieldsByKind = typeof FIELDS;
type Undefinable<T> = { [K in keyof T]: undefined extends T[K] ? K : never; }[keyof T];
/** Makes fields that may be undefined optional, as they are absent after decoding. */
type Loosen<T> = Omit<T, Undefinable<T>> & { readonly [K in Undefinable<T>]?: T[K] | undefined; };
export type MessageKind = keyof FieldsByKind;
export type MessageOf<K extends MessageKind> = { readonly kind: K; } & Loosen<RecordOf<FieldsByKind[K]>>;
export type PeerMessage = { [K in MessageKind]: MessageOf<K>; }[MessageKind];

const KINDS = Object.keys(FIELDS) as MessageKind[];
const SHAPES = KINDS.map(kind => createRecordShape(FIELDS[kind] as never) as Shape<unknown>);

/** The message as a msgpack value. */
export function encodeFields(message: PeerMessage): unknown {
    const kind = KINDS.indexOf(message.kind);
    return [kind, (SHAPES[kind] as Shape<unknown>).encode(message)];
}

/** Checks a msgpack value; throws `MessageError`. */
export function decodeFields(raw: unknown): PeerMessage {
    const kind = Array.isArray(raw) && raw.length === 2 && typeof raw[0] === "number" ? KINDS[raw[0]] : undefined;
    if (kind === undefined) {
        throw new MessageError("unknown message kind");
    }
    const shape = SHAPES[KINDS.indexOf(kind)] as Shape<object>;
    return { kind, ...shape.decode((raw as unknown[])[1], kind) } as PeerMessage;
}
