/**
 * Adapter interface for the headers that callers and backend servers of a platform use. Only its
 * implementation knows the platform's header names.
 */
import type { IncomingHttpHeaders } from "node:http";

/** Parsed headers of a caller's request. */
export interface CallerHeaders {
    /** Undefined when the caller gave none. */
    readonly requestId: string | undefined;
    /** Time for which the caller waits for the answer; undefined when the headers don't state it. */
    readonly timeLeftMs: number | undefined;
    /** Id of the request for which a server makes this call, if known; to be verified against running requests. */
    readonly parentId: string | undefined;
    /** Key of the caller's tenant; never passed on, logged or shown. */
    readonly key?: string | undefined;
}

/** Context that is sent to a server in addition to the caller's headers. */
export interface ServerRequestContext {
    readonly timeLeftMs: number;
    /** Id of the intended server; any other one declines the request. */
    readonly serverId: string;
    /** Service that runs on the VM of the caller. */
    readonly callerService: string;
    /** Name of the tenant whose key the caller has; undefined for requests without a key. */
    readonly tenant?: string | undefined;
}

/** Load that a server reports about itself. */
export interface ServerLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes on the server's VM at this moment, relative to its usual time; undefined when it isn't told. */
    readonly workFactor?: number | undefined;
}

/** Parsed headers of a server's answer. */
export interface ServerAnswerHeaders {
    /** Id of the request that is answered; undefined when the answer names none. */
    readonly requestId: string | undefined;
    /** Whether the server reports that it did not run the request. */
    readonly isNotRun: boolean;
    /** Whether another server than the intended one has answered. */
    readonly isMisdirected: boolean;
    readonly load: ServerLoad | undefined;
    /** Requests a second that the server takes from all daemons together; undefined when it names no limit. */
    readonly limitPerSecond: number | undefined;
    /** Whether the server says that it is leaving and should get no new requests. */
    readonly isLeaving: boolean;
    /** Idle timeout of the server's connections; undefined when the headers don't state it. */
    readonly idleTimeoutMs: number | undefined;
}

/** Parsed answer of a server to a health check. */
export interface HealthAnswer {
    /** Whether it serves and is not leaving. */
    readonly isHealthy: boolean;
    /** Id of the answering server; undefined when the answer names none. */
    readonly serverId: string | undefined;
}

export interface Dialect {
    parseCallerHeaders(headers: IncomingHttpHeaders): CallerHeaders;
    /** Whether a header, in lower case, is set by the daemon regardless of what the caller sent. */
    isSystemHeader(name: string): boolean;
    /** Builds the headers for a server; names and values alternate. */
    buildServerHeaders(instruction: ServerRequestContext): string[];
    /** Parses the headers of a server's answer, whose names are in lower case. */
    parseServerHeaders(status: number, headers: ReadonlyMap<string, string>): ServerAnswerHeaders;
    /** Whether a header of an answer, in lower case, occurs once: one that repeats it was put together from two answers. */
    isSingleAnswerHeader(name: string): boolean;
    /** Finds the signature by which a server marks one run of a request; names and values of headers alternate. */
    findSignature(headers: readonly string[]): string | undefined;
    parseHealthAnswer(status: number, headers: IncomingHttpHeaders): HealthAnswer;
    /** Builds the headers that tell a caller when to retry; names and values alternate. */
    buildRetryAfterHeaders(retryAfterMs: number): string[];
}
