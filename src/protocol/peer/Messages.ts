/**
 * Messages between daemons. Each is defined by the codecs of its fields; the wire format is
 * `[kind, fields…]` in msgpack, so field names are not sent.
 */
import { SUMMARY_DOMAINS_LIMIT, SUMMARY_ENTRIES_LIMIT } from "../../coordination/summary/index.js";
import type { MeshSummary } from "../../coordination/summary/index.js";
import { DIGEST_BUCKETS, MemberState } from "../../state/members/index.js";
import type { Member } from "../../state/members/index.js";
import {
    booleanCodec,
    createChoiceCodec,
    createIntegerCodec,
    createListCodec,
    createOptionalCodec,
    createRecordCodec,
    createTextCodec,
    createTokenCodec,
    MessageError,
    numberCodec,
} from "./FieldCodec.js";
import type { FieldCodec, RecordOf } from "./FieldCodec.js";

const NAME_LIMIT = 256;
const PORT_LIMIT = 65_535;
const LIST_LIMIT = 4_096;
const CONTENT_LIMIT = 1_048_576;
const DETAIL_LIMIT = 512;

const name = createTextCodec(NAME_LIMIT);
const hash = createTextCodec(128);
const detail = createTextCodec(DETAIL_LIMIT);
const integer = createIntegerCodec();
const port = createIntegerCodec(PORT_LIMIT, 1);
const token = createTokenCodec(NAME_LIMIT);
/**
 * Limit of incarnations and revisions. A daemon raises its own above those that others hold for it, so the highest one that
 * is accepted has to leave room for that.
 */
const REVISION_LIMIT = 2 ** 50;
const revision = createIntegerCodec(REVISION_LIMIT);

const server = createRecordCodec({ service: name, address: token, port, slots: integer, connections: integer });

/** Codec of a member record. */
export const memberCodec = createRecordCodec({
    id: token,
    address: token,
    peerPort: port,
    relayPort: port,
    failureDomain: name,
    region: name,
    incarnation: revision,
    revision,
    state: createChoiceCodec(Object.values(MemberState)),
    server: createOptionalCodec(server),
}, {
    linkMegabitsPerSecond: createOptionalCodec(numberCodec),
}) as unknown as FieldCodec<Member>;

/** Purpose of a connection. */
export const LinkRole = {
    /** The connecting daemon becomes a child of the accepting one. */
    Child: "child",
    /** Connection between two region relays. */
    Relay: "relay",
    /** Digest comparison between members of one failure domain. */
    Neighbour: "neighbour",
    /** Single queries: whether a daemon is alive, or which version its failure domain holds. */
    Query: "query",
} as const;
export type LinkRole = (typeof LinkRole)[keyof typeof LinkRole];

const candidate = createRecordCodec({ address: name, peerPort: port });
/** Address at which a daemon may be reached. */
export type Candidate = RecordOf<{ address: typeof name; peerPort: typeof port; }>;

const cutOffDomain = createRecordCodec({ domain: name, since: integer });
export interface CutOffDomain {
    readonly domain: string;
    /** Time of the observer's clock, milliseconds. */
    readonly since: number;
}

const versionCounts = createListCodec(createRecordCodec({ version: integer, daemons: integer }), SUMMARY_ENTRIES_LIMIT);
const domainCount = createRecordCodec({ failureDomain: name, daemons: integer, versions: versionCounts });

const summary = createRecordCodec({
    daemons: integer,
    unsettled: integer,
    versions: versionCounts,
    waiting: createListCodec(createRecordCodec({ reason: detail, daemons: integer }), SUMMARY_ENTRIES_LIMIT),
    controlBytes: integer,
    controlBytesAcrossRegions: integer,
    failureDomains: createOptionalCodec(createListCodec(domainCount, SUMMARY_DOMAINS_LIMIT)),
}) as unknown as FieldCodec<MeshSummary>;

const MESSAGE_FIELDS = {
    hello: {
        id: name,
        region: name,
        failureDomain: name,
        role: createChoiceCodec(Object.values(LinkRole)),
        nonce: hash,
    },
    challenge: { id: name, region: name, failureDomain: name, nonce: hash, proof: hash },
    proof: { proof: hash },
    welcome: {},
    /** The daemon accepts no more links, or is stopping; the candidates are to be tried instead. */
    redirect: { candidates: createListCodec(candidate, 32), stopping: booleanCodec },
    /** Heartbeat, sent when no other message was; carries the failure domains that the sender knows to be cut off. */
    beat: { cutOff: createListCodec(cutOffDomain, 256) },
    members: { records: createListCodec(memberCodec, LIST_LIMIT), services: createListCodec(name, LIST_LIMIT) },
    suspect: { id: name, incarnation: integer },
    digest: {
        version: integer,
        released: integer,
        services: integer,
        domains: createListCodec(createRecordCodec({ domain: name, hash: integer }), 256),
    },
    buckets: { domain: name, hashes: createListCodec(integer, DIGEST_BUCKETS) },
    bucketRecords: {
        domain: name,
        buckets: createListCodec(createIntegerCodec(DIGEST_BUCKETS - 1), DIGEST_BUCKETS),
        records: createListCodec(memberCodec, LIST_LIMIT),
        /** Whether the receiver answers with the records that the sender lacks. */
        wantsAnswer: booleanCodec,
    },
    /** Version that the sender holds completely; requests a newer one if `wants` is set. */
    have: { version: integer, root: hash, wants: booleanCodec },
    /** Changes from the version with root `fromRoot` (empty: from no version) to the manifest's root. */
    update: {
        manifestKey: name,
        manifest: createRecordCodec({
            version: integer,
            root: hash,
            previous: createOptionalCodec(name),
            parts: createListCodec(hash, LIST_LIMIT),
            author: detail,
            time: integer,
            message: createTextCodec(4_096),
            mac: hash,
        }),
        fromRoot: createTextCodec(128),
        changed: createListCodec(createRecordCodec({ name, content: createTextCodec(CONTENT_LIMIT), hash }), 65_536),
        removed: createListCodec(name, 65_536),
        /** Index among the messages of one update, and their number. */
        part: integer,
        parts: createIntegerCodec(1_024),
    },
    domainHolds: { version: integer, domain: name },
    release: { version: integer, witnessed: booleanCodec },
    floorRequest: { request: integer, forwarded: booleanCodec },
    /** `floor` is absent if no daemon on the path could read the store. */
    floorAnswer: { request: integer, floor: createOptionalCodec(integer) },
    domainFloorRequest: { request: integer },
    domainFloorAnswer: {
        request: integer,
        isSettledRelay: booleanCodec,
        version: integer,
        domains: createListCodec(name, 256),
    },
    summary: { summary },
    statusRequest: { request: integer },
    statusAnswer: { request: integer, summary: createOptionalCodec(summary) },
} as const;

type FieldsByKind = typeof MESSAGE_FIELDS;
type OptionalKeys<T> = { [K in keyof T]: undefined extends T[K] ? K : never; }[keyof T];
/** Makes fields that may be undefined optional, as they are absent after decoding. */
type WithOptionalFields<T> = Omit<T, OptionalKeys<T>> & { readonly [K in OptionalKeys<T>]?: T[K] | undefined; };
export type MessageKind = keyof FieldsByKind;
export type MessageOf<K extends MessageKind> = { readonly kind: K; } & WithOptionalFields<RecordOf<FieldsByKind[K]>>;
export type PeerMessage = { [K in MessageKind]: MessageOf<K>; }[MessageKind];

const MESSAGE_KINDS = Object.keys(MESSAGE_FIELDS) as MessageKind[];
const MESSAGE_CODECS = MESSAGE_KINDS.map(kind =>
    createRecordCodec(MESSAGE_FIELDS[kind] as never) as FieldCodec<unknown>
);

/** Converts a message to a msgpack value. */
export function encodeMessageValue(message: PeerMessage): unknown {
    const kind = MESSAGE_KINDS.indexOf(message.kind);
    return [kind, (MESSAGE_CODECS[kind] as FieldCodec<unknown>).encode(message)];
}

/** Converts a msgpack value to a validated message; throws `MessageError` if it is not one. */
export function decodeMessageValue(raw: unknown): PeerMessage {
    const kind = Array.isArray(raw) && raw.length === 2 && typeof raw[0] === "number"
        ? MESSAGE_KINDS[raw[0]]
        : undefined;
    if (kind === undefined) {
        throw new MessageError("unknown message kind");
    }
    const codec = MESSAGE_CODECS[MESSAGE_KINDS.indexOf(kind)] as FieldCodec<object>;
    return { kind, ...codec.decode((raw as unknown[])[1], kind) } as PeerMessage;
}
