/** Names of the headers that daemons add to requests and answers; all lower case. */
export const MeshHeader = {
    /** Remaining time for the request, in milliseconds; the only mesh header a caller may send. */
    Deadline: "papayaturn-deadline-ms",
    Outcome: "papayaturn-outcome",
    /** Why a request was not run; one of `RefusalReason`. */
    Reason: "papayaturn-reason",
    /** Identity of one attempt; an answer must carry the one of its request. */
    Attempt: "papayaturn-attempt",
    /** Proof that a relayed request comes from a member of the mesh. */
    Token: "papayaturn-token",
    /** Daemon that a relayed request is meant for. */
    Target: "papayaturn-target",
    Service: "papayaturn-service",
    Class: "papayaturn-class",
    /** `once` when the request may run at most once. */
    Execution: "papayaturn-execution",
    /** Load of the answering daemon's server, see `LoadReport`. */
    Load: "papayaturn-load",
} as const;

/** Value of `MeshHeader.Execution` for a request that may run at most once. */
export const EXECUTION_ONCE = "once";

/** Header by which a caller names a non-repeatable request. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
export const REQUEST_ID_HEADER = "x-request-id";

/** Longest accepted idempotency key. */
export const IDEMPOTENCY_KEY_MAXIMUM_LENGTH = 256;

const MESH_HEADER_PREFIX = "papayaturn-";

/** Whether a lower-case header name belongs to the mesh, so that callers and servers may not set it. */
export function isMeshHeader(name: string): boolean {
    return name.startsWith(MESH_HEADER_PREFIX);
}
