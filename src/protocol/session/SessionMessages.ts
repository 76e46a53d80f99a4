/**
 * Messages of a session between the daemon that places requests (the caller's side) and the owner of
 * a backend server. The wire format is `[kind, fields…]` in MessagePack.
 */
import { Packr } from "msgpackr";
import type { OwnerLoad } from "../../coordination/placement/index.js";
import {
    MAXIMUM_CRASHES,
    MAXIMUM_SUSPECTS_PER_CRASH,
    MAXIMUM_VERDICTS,
    VerdictKind,
} from "../../coordination/quarantine/index.js";
import type { ServerIdentity } from "../../coordination/registration/index.js";
import { DIGEST_BUCKETS } from "../../state/members/index.js";
import { RequestKind } from "../../state/traffic/index.js";
import type { RoutePolicy, Tenant } from "../../state/traffic/index.js";
import { memberCodec } from "../peer/index.js";
import {
    booleanCodec,
    createChoiceCodec,
    createIntegerCodec,
    createListCodec,
    createOptionalCodec,
    createRecordCodec,
    createTextCodec,
    MessageError,
    numberCodec,
} from "../peer/index.js";
import type { FieldCodec, RecordOf } from "../peer/index.js";
import { RefusalReason } from "../request/index.js";
import { baselineCodec, rolloutLoadCodec, rolloutRecordFields } from "./RolloutFields.js";

/** Maximum size of a frame: the largest body that operators allow (64 MB) plus the rest of the message. */
export const SESSION_FRAME_LIMIT_BYTES = 80 * 1_048_576;

/** Maximum number of header names and values; the listener limits the size of a caller's header block. */
const HEADERS_LIMIT = 131_072;
const HEADER_TEXT_LIMIT = 131_072;
const MEMBERS_LIMIT = 4_096;
const DOMAINS_LIMIT = 1_024;
const WATCHES_LIMIT = 16;
const TARGETS_LIMIT = 1_024;
/** Above the number of tenants that the project aims at. */
const QUOTA_ENTRIES_LIMIT = 16_384;
/** Far above the number of verdicts that one request can get. */
const REVISION_LIMIT = 1_000_000;

const name = createTextCodec(256);
const text = createTextCodec(HEADER_TEXT_LIMIT);
const integer = createIntegerCodec();
const headers = createListCodec(text, HEADERS_LIMIT);

/** Bytes of a body. */
const bytesCodec: FieldCodec<Uint8Array> = {
    decode(raw, path) {
        if (!(raw instanceof Uint8Array)) {
            throw new MessageError(`${path} is not a byte string`);
        }
        return raw;
    },
    encode: value => value,
};

const load = createRecordCodec({
    isOpen: booleanCodec,
    running: integer,
    queued: integer,
    slots: integer,
    waits: createRecordCodec({ nestedMs: numberCodec, inTimeMs: numberCodec, lateMs: numberCodec }),
    workMs: numberCodec,
    coldLeftMs: numberCodec,
    limitPerSecond: createOptionalCodec(numberCodec),
    link: createOptionalCodec(createRecordCodec({ bytesPerMs: numberCodec, waitMs: numberCodec })),
}, {
    processorDelayMs: createOptionalCodec(numberCodec),
    workFactor: createOptionalCodec(numberCodec),
    rollout: createOptionalCodec(rolloutLoadCodec),
}) as unknown as FieldCodec<OwnerLoad>;

/** The owner's server; undefined while there is none. */
const serverIdentity = createOptionalCodec(createRecordCodec({
    address: name,
    port: integer,
    serverId: name,
    service: name,
    slots: integer,
    startedAt: createOptionalCodec(numberCodec),
    limitPerSecond: createOptionalCodec(numberCodec),
}, { softwareVersion: createOptionalCodec(name) })) as unknown as FieldCodec<ServerIdentity | undefined>;

const ownedRequest = createRecordCodec({
    requestId: text,
    method: name,
    target: text,
    headers,
    body: bytesCodec,
    route: text,
    service: text,
    version: integer,
    kind: createChoiceCodec(Object.values(RequestKind)),
    priority: integer,
    isNested: booleanCodec,
    isRetry: booleanCodec,
    /** Times remaining when the message is sent, since clocks differ. */
    targetLeftMs: numberCodec,
    budgetLeftMs: numberCodec,
    callerService: name,
}, {
    tenant: createOptionalCodec(name),
    baseline: createOptionalCodec(baselineCodec),
    laterBodyBytes: createOptionalCodec(integer),
});

/** Number of the version in force; undefined when none is. */
const version = createOptionalCodec(integer);

/** What each daemon says of its beliefs. */
const statusFields = {
    version,
    /** Watches of the store in the sender's region that are known to work, or to have failed lately. */
    watches: createListCodec(
        createRecordCodec({ id: name, isWorking: booleanCodec, ageMs: numberCodec }),
        WATCHES_LIMIT,
    ),
    /** Digest of all member records; equal when both daemons hold the same ones. */
    membersDigest: integer,
    /** When `version` was last known to be the newest one in the store. */
    confirmation: createOptionalCodec(createRecordCodec({
        position: createRecordCodec({ era: integer, revision: integer }),
        ageMs: numberCodec,
    })),
};

/** Fields that each peer sends about itself in handshake and keepalive messages. */
const keepaliveFields = {
    ...statusFields,
    /** Sequenced frames received so far. */
    received: integer,
};

/** Fields with which an owner's last message on a request tells its state. */
const ownerFields = {
    load,
    version,
};

const routePolicy = createRecordCodec({
    name: text,
    pathPrefix: text,
    kind: createChoiceCodec(Object.values(RequestKind)),
    targets: createListCodec(createRecordCodec({ service: text, weight: numberCodec }), TARGETS_LIMIT),
    maximumServers: numberCodec,
    timeoutMs: numberCodec,
    targetLatencyMs: numberCodec,
    priority: integer,
}, { isPublic: createOptionalCodec(booleanCodec) }) as unknown as FieldCodec<RoutePolicy>;

/** Tenant of a key, with its limits. */
const tenant = createRecordCodec({
    name,
    priority: createOptionalCodec(integer),
    ratePerSecond: createOptionalCodec(numberCodec),
    burst: numberCodec,
}) as unknown as FieldCodec<Tenant>;

const MESSAGE_FIELDS = {
    hello: {
        ...keepaliveFields,
        sessionId: name,
        /** Intended daemon; another one may have taken over its address. */
        target: name,
        member: memberCodec,
        /** Owner's server as the caller's side remembers it, for an owner that has restarted. */
        server: serverIdentity,
    },
    welcome: {
        ...keepaliveFields,
        id: name,
        /** False when the owner has no state of the session, for example after a restart. */
        isResumed: booleanCodec,
        member: memberCodec,
        load,
        server: serverIdentity,
    },
    /** `roundTripMs` is the sender's shortest one on this connection; undefined before the first. */
    ping: { ...keepaliveFields, sentAt: numberCodec, roundTripMs: createOptionalCodec(numberCodec) },
    pong: { ...keepaliveFields, sentAt: numberCodec, load },
    acknowledge: { received: integer },
    load: { load, server: serverIdentity },
    /** Sent at once after a change, without waiting for the next ping. */
    status: { ...statusFields, sentAt: numberCodec },
    configurationRequest: {},
    /** Asks for the route of a request, which takes less than a copy of the version. */
    routeQuery: { query: integer, host: text, path: text },
    /** Answer by the version in force at the sender; without `route`, that version has none. */
    routeAnswer: { query: integer, version: integer, revision: integer, route: createOptionalCodec(routePolicy) },
    /** Complete text of a version, as it is in the store, compressed. */
    configuration: { version: integer, revision: integer, compressedText: bytesCodec },
    /** Digests of the sender's records, one for each failure domain, after the digests of all records differed. */
    memberDigests: { domains: createListCodec(createRecordCodec({ domain: name, hash: integer }), DOMAINS_LIMIT) },
    /** Digests of the records of a failure domain, one for each bucket of ids. */
    memberBuckets: { domain: name, hashes: createListCodec(integer, DIGEST_BUCKETS) },
    /** Records that are new or differ; the receiver answers with its own records of the wanted buckets. */
    members: {
        records: createListCodec(memberCodec, MEMBERS_LIMIT),
        domain: name,
        wantedBuckets: createListCodec(integer, DIGEST_BUCKETS),
    },
    /** `version` is in force at the sender; the request may have been decided by another one. */
    request: { stream: integer, request: ownedRequest, version },
    /** A request that may run only once has a slot; the caller's side answers `proceed` or `cancel`. */
    offer: { stream: integer },
    proceed: { stream: integer },
    cancel: { stream: integer },
    pause: { stream: integer },
    resume: { stream: integer },
    refused: {
        stream: integer,
        reason: createChoiceCodec(Object.values(RefusalReason)),
        detail: text,
        retryAfterMs: numberCodec,
        ...ownerFields,
    },
    /** The server reported that it did not run the request. */
    declined: { stream: integer, detail: text, ...ownerFields },
    /** The request may have run; there is no answer. */
    unknown: { stream: integer, detail: text, ...ownerFields },
    answer: {
        stream: integer,
        status: integer,
        headers,
        isCloseDelimited: booleanCodec,
        body: bytesCodec,
        workMs: numberCodec,
        queuedMs: numberCodec,
        ...ownerFields,
    },
    answerHead: {
        stream: integer,
        status: integer,
        headers,
        isCloseDelimited: booleanCodec,
        workMs: numberCodec,
        queuedMs: numberCodec,
    },
    answerData: { stream: integer, body: bytesCodec },
    answerEnd: { stream: integer, ...ownerFields },
    /** The answer broke off after its head was sent. */
    answerCut: { stream: integer, detail: text, ...ownerFields },
    /** Crashes of servers with the requests that ran there, and verdicts on requests; new ones, or all that are known. */
    crashes: {
        crashes: createListCodec(
            createRecordCodec({
                id: text,
                ageMs: numberCodec,
                running: integer,
                suspects: createListCodec(
                    createRecordCodec({ fingerprint: name, ranMs: numberCodec }),
                    MAXIMUM_SUSPECTS_PER_CRASH,
                ),
            }),
            MAXIMUM_CRASHES,
        ),
        verdicts: createListCodec(
            createRecordCodec({
                fingerprint: name,
                kind: createChoiceCodec(Object.values(VerdictKind)),
                revision: createIntegerCodec(REVISION_LIMIT),
                ageMs: numberCodec,
                crashIds: createListCodec(text, MAXIMUM_CRASHES),
            }),
            MAXIMUM_VERDICTS,
        ),
    },
    /** A version as a difference from one that the receiver has named; `compressedParts` is JSON. */
    configurationDifference: {
        version: integer,
        revision: integer,
        baseChecksum: name,
        checksum: name,
        compressedParts: bytesCodec,
    },
    /** Orders of roll-outs with what is known of them: news, or all after a connection. */
    rolloutReports: rolloutRecordFields,
    /** Part of the body of a request that has an offer; `proceed` follows the last one. */
    requestData: { stream: integer, body: bytesCodec },
    /** Loan of the sender's share of all quotas, and its demand, to an allocator (`QuotaMessages.ts`). */
    quotaDemand: {
        sentAt: integer,
        run: integer,
        sequence: integer,
        allocatorRun: integer,
        grantSequence: integer,
        shareDivisor: integer,
        table: integer,
        entries: createListCodec(
            createRecordCodec({ tenant: integer, wanted: integer, used: integer, refused: integer }),
            QUOTA_ENTRIES_LIMIT,
        ),
    },
    /** What an allocator grants to the receiver. */
    quotaGrant: {
        run: integer,
        sequence: integer,
        holderRun: integer,
        demandSequence: integer,
        table: integer,
        entries: createListCodec(createRecordCodec({ tenant: integer, quota: integer }), QUOTA_ENTRIES_LIMIT),
    },
} as const;

/** Optional fields that were added later, which daemons before them ignore. */
const ADDED_FIELDS = {
    /** Checksum of the sender's version, if a difference from it may be sent. */
    configurationRequest: { baseChecksum: createOptionalCodec(name) },
    /** Digest of the caller's key. */
    routeQuery: { keyDigest: createOptionalCodec(name) },
    /** Whether the version asks for a key, and the tenant of the key of the query; sent where there are tenants. */
    routeAnswer: { needsKey: createOptionalCodec(booleanCodec), tenant: createOptionalCodec(tenant) },
} as const;

type FieldsOf = typeof MESSAGE_FIELDS;
type AddedFieldsOf = typeof ADDED_FIELDS;
type AddedTo<K> = K extends keyof AddedFieldsOf ? Partial<RecordOf<AddedFieldsOf[K]>> : unknown;
export type SessionMessageKind = keyof FieldsOf;
export type SessionMessageOf<K extends SessionMessageKind> = { readonly kind: K; } & RecordOf<FieldsOf[K]> & AddedTo<K>;
export type SessionMessage = { [K in SessionMessageKind]: SessionMessageOf<K>; }[SessionMessageKind];

const MESSAGE_KINDS = Object.keys(MESSAGE_FIELDS) as SessionMessageKind[];
const MESSAGE_CODECS = MESSAGE_KINDS.map(kind => {
    const addedFields: Readonly<Record<string, FieldCodec<unknown>>> = kind in ADDED_FIELDS
        ? ADDED_FIELDS[kind as keyof AddedFieldsOf]
        : {};
    return createRecordCodec(MESSAGE_FIELDS[kind], addedFields) as FieldCodec<unknown>;
});

/** Messages between two daemons that concern neither a request nor the session itself. */
export type GossipMessage = Extract<SessionMessage, { readonly kind: GossipKind; }>;

const GOSSIP_KIND_LIST = [
    "configuration",
    "configurationDifference",
    "configurationRequest",
    "crashes",
    "memberBuckets",
    "memberDigests",
    "members",
    "rolloutReports",
    "quotaDemand",
    "quotaGrant",
    "routeAnswer",
    "routeQuery",
    "status",
] as const;
type GossipKind = (typeof GOSSIP_KIND_LIST)[number];
const GOSSIP_KINDS: ReadonlySet<SessionMessageKind> = new Set(GOSSIP_KIND_LIST);

/** Kinds that are not sent again after a connection loss, since the next message of the kind replaces them. */
const UNSEQUENCED_KINDS: ReadonlySet<SessionMessageKind> = new Set([
    "hello",
    "welcome",
    "ping",
    "pong",
    "acknowledge",
    "load",
    ...GOSSIP_KIND_LIST,
]);

export function isGossip(message: SessionMessage): message is GossipMessage {
    return GOSSIP_KINDS.has(message.kind);
}

export function isSequenced(kind: SessionMessageKind): boolean {
    return !UNSEQUENCED_KINDS.has(kind);
}

const packr = new Packr({ mapsAsObjects: true, useRecords: false });

export function encodeSessionMessage(message: SessionMessage): Uint8Array {
    const index = MESSAGE_KINDS.indexOf(message.kind);
    return packr.pack([index, ...MESSAGE_CODECS[index]?.encode(message) as unknown[]]);
}

/** Decodes a frame; throws `MessageError` unless it holds exactly one known message. */
export function decodeSessionMessage(frame: Uint8Array): SessionMessage {
    let raw: unknown;
    try {
        raw = packr.unpack(frame);
    }
    catch (error) {
        throw new MessageError(`frame cannot be unpacked: ${error instanceof Error ? error.message : "unknown"}`);
    }
    const index: unknown = Array.isArray(raw) ? raw[0] : undefined;
    const kind = typeof index === "number" ? MESSAGE_KINDS[index] : undefined;
    const shape = typeof index === "number" ? MESSAGE_CODECS[index] : undefined;
    if (!Array.isArray(raw) || kind === undefined || shape === undefined) {
        throw new MessageError("frame is not a known message");
    }
    return { kind, ...shape.decode(raw.slice(1), kind) as object } as SessionMessage;
}
