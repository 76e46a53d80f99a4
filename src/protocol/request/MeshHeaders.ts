/** Names of the headers that daemons add to requests and answers, in lower case. */
export const MeshHeader = {
    /** Remaining time of the request in milliseconds; the only mesh header that a caller may send. */
    Deadline: "papayaturn-deadline-ms",
    Outcome: "papayaturn-outcome",
    /** Why a request was not run; one of `RefusalReason`. */
    Reason: "papayaturn-reason",
    /** Id of an attempt; an answer must have the id of its request. */
    Attempt: "papayaturn-attempt",
    /** Token by which a relayed request proves that it comes from a member of the mesh. */
    Token: "papayaturn-token",
    /** Daemon for which a relayed request is intended. */
    Target: "papayaturn-target",
    Service: "papayaturn-service",
    Class: "papayaturn-class",
    /** Version of the configuration that chose the service of a relayed request. */
    Version: "papayaturn-version",
    /** `once` when the request may run at most once. */
    Execution: "papayaturn-execution",
    /** Load of the answering daemon's server; see `LoadReport`. */
    Load: "papayaturn-load",
} as const;

/** Value of `MeshHeader.Execution` for a request that may run at most once. */
export const EXECUTION_ONCE = "once";

/** Header by which a caller identifies a request that must not run twice. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
export const REQUEST_ID_HEADER = "x-request-id";

/** Maximum length of an idempotency key. */
export const IDEMPOTENCY_KEY_MAXIMUM_LENGTH = 256;

const MESH_HEADER_PREFIX = "papayaturn-";

/** Whether a header name, in lower case, is reserved for the mesh, so that callers and servers may not set it. */
export function isMeshHeader(name: string): boolean {
    return name.startsWith(MESH_HEADER_PREFIX);
}
