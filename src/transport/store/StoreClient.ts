/** Store port over HTTP; docs/store.md describes the protocol, which only this module implements. */
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import type { Dispatcher } from "undici";
import { Pool } from "undici";
import type {
    ListedObject,
    ObjectVersion,
    PutCondition,
    StoredObject,
    StoreError,
    StorePort,
    StoreResult,
} from "../../state/store/index.js";
import { MAXIMUM_VALUE_BYTES } from "../../state/store/index.js";
import { realTimers, withTimeoutSignal } from "../timers/index.js";
import { classifyFailure, classifyStatus } from "./StoreErrors.js";
import type { TransferredBytes } from "./TransferCounter.js";
import { createTransferCounter } from "./TransferCounter.js";

/** Minimum time beyond its wait after which the answer of a watch counts as lost. */
const WATCH_GRACE_MS = 2_000;

const DEFAULT_CONNECTIONS = 16;

export interface StoreClientOptions {
    /** Base address, for example `http://127.0.0.1:7400`. */
    readonly url: string;
    /** Time after which the answer of a request counts as lost. */
    readonly timeoutMs: number;
    /** Maximum concurrent connections; further requests wait for a free one. */
    readonly connections?: number;
}

export interface StoreClient extends StorePort {
    /** Returns the bytes transferred over all connections so far, including headers. */
    readTransferredBytes(): TransferredBytes;
    /** Closes all connections; requests in progress end with an unknown outcome. */
    close(): Promise<void>;
}

/** A request and the status codes that mean success. */
interface StoreRequest {
    readonly method: "GET" | "PUT" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly successStatuses: readonly number[];
    readonly timeoutMs: number;
    readonly signal: AbortSignal | undefined;
}

interface StoreAnswer {
    readonly status: number;
    readonly text: string;
    readonly version: ObjectVersion | undefined;
}

/** Sends a request and reads the complete answer. */
async function sendRequest(pool: Pool, request: StoreRequest): Promise<Either<StoreError, StoreAnswer>> {
    if (request.signal?.aborted === true) {
        return Left({ detail: "The request was cancelled before it was sent.", kind: "unreachable" });
    }
    try {
        return await withTimeoutSignal(realTimers, request.timeoutMs, async deadline => {
            const response = await pool.request({
                body: request.body ?? null,
                headers: request.headers ?? {},
                method: request.method,
                path: request.path,
                signal: request.signal === undefined ? deadline : AbortSignal.any([request.signal, deadline]),
            });
            const text = await response.body.text();
            return request.successStatuses.includes(response.statusCode)
                ? Right({ status: response.statusCode, text, version: parseEntityTag(response.headers) })
                : Left(classifyStatus(response.statusCode, text));
        });
    }
    catch (error) {
        return Left(classifyFailure(error));
    }
}

function parseEntityTag(headers: Dispatcher.ResponseData["headers"]): ObjectVersion | undefined {
    const match = /^"(\d+)"$/.exec(String(headers["etag"] ?? ""));
    return match === null ? undefined : Number(match[1]);
}

function formatCondition(condition: PutCondition): Readonly<Record<string, string>> {
    return condition.kind === "absent" ? { "if-none-match": "*" } : { "if-match": `"${condition.version}"` };
}

/** Parses the answer to a read; a success without a version is malformed. */
function parseObject(key: string, answer: StoreAnswer): Either<StoreError, StoredObject | undefined> {
    if (answer.status !== 200) {
        return Right(undefined);
    }
    return answer.version === undefined
        ? Left(createMalformedError(key))
        : Right({ key, value: answer.text, version: answer.version });
}

function createMalformedError(subject: string): StoreError {
    return { detail: `The answer for "${subject}" is malformed.`, kind: "unknown" };
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

function parseVersion(key: string, answer: StoreAnswer): Either<StoreError, ObjectVersion> {
    const version = (parseJson(answer.text) as { readonly version?: unknown; } | undefined)?.version;
    return typeof version === "number" ? Right(version) : Left(createMalformedError(key));
}

/** One page of a listing. */
interface ListingPage {
    readonly objects: readonly ListedObject[];
    readonly complete: boolean;
}

function parseListing(prefix: string, answer: StoreAnswer): Either<StoreError, ListingPage> {
    const page = parseJson(answer.text) as Partial<ListingPage> | undefined;
    return Array.isArray(page?.objects) && typeof page.complete === "boolean"
        ? Right({ complete: page.complete, objects: page.objects as readonly ListedObject[] })
        : Left(createMalformedError(prefix));
}

/** Creates the store port over HTTP. */
export function createStoreClient(options: StoreClientOptions): StoreClient {
    const { timeoutMs } = options;
    // The connect timeout expires before the request's, so that the request is known not to have been sent.
    const counter = createTransferCounter(timeoutMs / 2);
    const pool = new Pool(options.url, {
        bodyTimeout: 0,
        connect: counter.connect,
        connections: options.connections ?? DEFAULT_CONNECTIONS,
        headersTimeout: 0,
    });

    async function listPage(prefix: string, after: string, signal: AbortSignal | undefined) {
        const query = new URLSearchParams({ after, prefix });
        const answer = await sendRequest(pool, {
            successStatuses: [200],
            method: "GET",
            path: `/v1/objects?${query}`,
            signal,
            timeoutMs,
        });
        return answer.chain(page => parseListing(prefix, page));
    }

    return {
        async get(key, signal) {
            const path = `/v1/objects/${key}`;
            const answer = await sendRequest(pool, {
                successStatuses: [200, 404],
                method: "GET",
                path,
                signal,
                timeoutMs,
            });
            return answer.chain(found => parseObject(key, found));
        },
        async put(key, value, condition, signal): StoreResult<ObjectVersion> {
            if (Buffer.byteLength(value) > MAXIMUM_VALUE_BYTES) {
                return Left({
                    detail: `"${key}" is larger than a value may be.`,
                    kind: "refused",
                    reason: "too-large",
                });
            }
            const answer = await sendRequest(pool, {
                successStatuses: [200],
                body: value,
                headers: { ...formatCondition(condition), "content-type": "text/plain; charset=utf-8" },
                method: "PUT",
                path: `/v1/objects/${key}`,
                signal,
                timeoutMs,
            });
            return answer.chain(written => parseVersion(key, written));
        },
        async delete(key, version, signal) {
            const answer = await sendRequest(pool, {
                successStatuses: [204],
                headers: formatCondition({ kind: "version", version }),
                method: "DELETE",
                path: `/v1/objects/${key}`,
                signal,
                timeoutMs,
            });
            return answer.map(() => undefined);
        },
        async list(prefix, signal): StoreResult<readonly ListedObject[]> {
            const objects: ListedObject[] = [];
            for (;;) {
                const page = await listPage(prefix, objects.at(-1)?.key ?? "", signal);
                if (page.isLeft()) {
                    return page.map(() => objects);
                }
                const { complete, objects: found } = page.unsafeCoerce();
                objects.push(...found);
                if (complete || found.length === 0) {
                    return Right(objects);
                }
            }
        },
        async watch(key, after, waitMs, signal) {
            const answer = await sendRequest(pool, {
                successStatuses: [200, 204],
                method: "GET",
                path: `/v1/watches/${key}?after=${after}&waitMs=${waitMs}`,
                signal,
                timeoutMs: waitMs + Math.max(timeoutMs, WATCH_GRACE_MS),
            });
            return answer.chain(found => parseObject(key, found));
        },
        readTransferredBytes: counter.readTransferredBytes,
        async close() {
            await pool.destroy();
        },
    };
}
