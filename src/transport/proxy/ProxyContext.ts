import type { LoadBalancer } from "../../coordination/balancing/index.js";
import type { ClaimPort } from "../../coordination/claims/index.js";
import type { HeldLeases } from "../../coordination/leases/index.js";
import type { RequestRecorder } from "../../coordination/recording/index.js";
import type { Member } from "../../state/members/index.js";
import type { Random } from "../../state/shared/index.js";
import type { ReadMeshView } from "../../state/view/index.js";
import type { ConnectionPools } from "./ConnectionPools.js";
import type { DeadlineQueue } from "./DeadlineQueue.js";
import type { OwnServer } from "./OwnServer.js";

/** Writes one log line with structured fields. */
export type ProxyLog = (level: "info" | "warn", message: string, fields?: Record<string, unknown>) => void;

/** Selects the server of a repeatable request; replaceable, so that policies can be compared. */
export type SelectServer = (query: ServerQuery) => Member | undefined;

/** Input of `SelectServer`. */
export interface ServerQuery {
    readonly service: string;
    readonly slowStartMs: number;
    readonly excluded: ReadonlySet<string>;
    readonly now: number;
}

/** Takes one retry from a service's retry budget; false when none is left. Replaceable like `SelectServer`. */
export type TakeRetry = (service: string, now: number) => boolean;

export interface RequestProxyOptions {
    /** IP address of the port for callers. */
    readonly address: string;
    /** IP address of the port for other daemons; `address` when omitted. */
    readonly relayAddress?: string;
    /** Port for callers; 0 selects a free port. */
    readonly requestPort: number;
    /** Port for requests, lease renewals and forwarded claims of other daemons; 0 selects a free port. */
    readonly relayPort: number;
    readonly selfId: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly readView: ReadMeshView;
    readonly claims: ClaimPort;
    /** Commits a claim operation that another daemon forwarded; returns undefined when the text is malformed. */
    readonly handleForwardedClaim?: (text: string) => Promise<string> | undefined;
    readonly recorder: RequestRecorder;
    readonly meshKey: string;
    /** Current time in milliseconds, from a clock that does not jump. */
    readonly now: () => number;
    /** Unix milliseconds; tells for how long the VM was suspended. `now` when omitted. */
    readonly readWallClock?: () => number;
    readonly random: Random;
    readonly log: ProxyLog;
    /** Called when the local backend server refuses connections, so that it can be announced as dead. */
    readonly reportServerFailure?: (detail: string) => void;
    readonly selectServer?: SelectServer;
    readonly takeRetry?: TakeRetry;
    /** False sends every request for another server through its owner; for measurements. */
    readonly isLeasing?: boolean;
}

/** State and dependencies shared by the parts of the request path. */
export interface ProxyContext {
    readonly options: RequestProxyOptions;
    readonly relayToken: string;
    readonly deadlines: DeadlineQueue;
    readonly pools: ConnectionPools;
    readonly balancer: LoadBalancer;
    readonly leases: HeldLeases;
    /** Clock of `leases`, which end at their owners also while this VM is suspended. */
    readonly readLeaseTime: () => number;
    readonly ownServer: OwnServer;
    readonly selectServer: SelectServer;
    readonly takeRetry: TakeRetry;
    /** Records a caller's request in its service's retry budget. */
    readonly recordRequest: (service: string, now: number) => void;
    /** Requests a slot lease from the owner of a server that this daemon starts to use. */
    readonly requestLease: (owner: string) => void;
    readonly isStopping: () => boolean;
    /** Creates the id of an attempt or a request, unique in the mesh. */
    readonly createId: () => string;
}
