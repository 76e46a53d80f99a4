/**
 * What callers and backend servers of a platform say in headers, in this project's terms. An adapter
 * implements it; nothing else knows the platform's names.
 */
import type { IncomingHttpHeaders } from "node:http";

/** What a caller says of its request. */
export interface CallerHeaders {
    /** Undefined when the caller gave none. */
    readonly requestId: string | undefined;
    /** How long the caller waits for the answer; undefined when it doesn't say. */
    readonly timeLeftMs: number | undefined;
    /** Id of the request for which a server makes this call, if the id tells; to be checked against what runs. */
    readonly parentId: string | undefined;
}

/** What a server is told beside the caller's own request. */
export interface ServerRequestContext {
    readonly timeLeftMs: number;
    /** Id of the server that is meant; any other declines. */
    readonly serverId: string;
    /** Service that runs on the VM where the request began. */
    readonly callerService: string;
}

/** Load that a server states of itself. */
export interface ServerLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** What a server says about its answer. */
export interface ServerAnswerHeaders {
    /** Id of the request that is answered; undefined when the answer names none. */
    readonly requestId: string | undefined;
    /** Whether the server states that it did not run the request. */
    readonly isNotRun: boolean;
    /** Whether another server than the one that was meant has answered. */
    readonly isMisdirected: boolean;
    readonly load: ServerLoad | undefined;
    /** How long the server keeps an idle connection; undefined when it doesn't say. */
    readonly idleTimeoutMs: number | undefined;
}

/** What a server says of itself when its health is checked. */
export interface HealthAnswer {
    /** Whether it serves and is not leaving. */
    readonly isHealthy: boolean;
    /** Id of the server that answers; undefined when the answer names none. */
    readonly serverId: string | undefined;
}

export interface Dialect {
    parseCallerHeaders(headers: IncomingHttpHeaders): CallerHeaders;
    /** Whether a header, in lower case, is set by the system whatever the caller sent. */
    isSystemHeader(name: string): boolean;
    /** Headers for a server; names and values alternate. */
    buildServerHeaders(instruction: ServerRequestContext): string[];
    /** `headers` has lower-case names. */
    parseServerHeaders(status: number, headers: ReadonlyMap<string, string>): ServerAnswerHeaders;
    parseHealthAnswer(status: number, headers: IncomingHttpHeaders): HealthAnswer;
    /** Headers that tell a caller when to come back. */
    buildRetryAfterHeaders(retryAfterMs: number): string[];
}
