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

/** Writes one log line; `fields` are structured. */
export type ProxyLog = (level: "info" | "warn", message: string, fields?: Record<string, unknown>) => void;

/** Chooses the server of a repeatable request; replaceable so that policies can be compared. */
export type SelectServer = (query: ServerQuery) => Member | undefined;

export interface ServerQuery {
    readonly service: string;
    readonly slowStartMs: number;
    readonly excluded: ReadonlySet<string>;
    readonly now: number;
}

/** Decides whether a service's retry budget allows one more retry; replaceable like `ChooseServer`. */
export type TakeRetry = (service: string, now: number) => boolean;

export interface RequestProxyOptions {
    /** Address of the callers' port; an IP address. */
    readonly address: string;
    /** Address of the port for other daemons; `address` when omitted. */
    readonly relayAddress?: string;
    /** Port for callers; 0 takes any. */
    readonly requestPort: number;
    /** Port for requests and lease renewals of other daemons; 0 takes any. */
    readonly relayPort: number;
    readonly selfId: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly readView: ReadMeshView;
    readonly claims: ClaimPort;
    /** Commits an operation on claims that another daemon sent; undefined when the text is malformed. */
    readonly handleForwardedClaim?: (text: string) => Promise<string> | undefined;
    readonly recorder: RequestRecorder;
    readonly meshKey: string;
    /** Present time in milliseconds; should not jump. */
    readonly now: () => number;
    readonly random: Random;
    readonly log: ProxyLog;
    /** Told when the own backend server refuses connections, so that it can be announced as dead. */
    readonly reportServerFailure?: (detail: string) => void;
    readonly selectServer?: SelectServer;
    readonly takeRetry?: TakeRetry;
    /** False makes every request to another server go through its owner; for measurements. */
    readonly isLeasing?: boolean;
}

/** What the parts of the request path share. */
export interface ProxyContext {
    readonly options: RequestProxyOptions;
    readonly relayToken: string;
    readonly deadlines: DeadlineQueue;
    readonly pools: ConnectionPools;
    readonly balancer: LoadBalancer;
    readonly leases: HeldLeases;
    readonly ownServer: OwnServer;
    readonly selectServer: SelectServer;
    readonly takeRetry: TakeRetry;
    /** Counts a caller's request for its service's retry budget. */
    readonly recordRequest: (service: string, now: number) => void;
    /** Applies for slots of a server that this daemon begins to use. */
    readonly requestLease: (owner: string) => void;
    readonly isStopping: () => boolean;
    /** Identity of a new attempt or request, unique in the mesh. */
    readonly createId: () => string;
}
