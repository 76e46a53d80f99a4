import type { MeshSummary } from "../../coordination/summary/index.js";
import type { CutOffDomain } from "../../protocol/peer/index.js";
import type { MemberState, ServerRecord } from "../../state/members/index.js";
import type { Random } from "../../state/shared/index.js";
import type { StorePort } from "../../state/store/index.js";
import type { MeshView } from "../../state/view/index.js";
import type { PeerNetwork } from "../peer/index.js";
import type { Timers } from "../timers/index.js";

/** Log functions with the argument order of `bunyan`. */
export interface MeshLog {
    debug(fields: object, message: string): void;
    info(fields: object, message: string): void;
    warn(fields: object, message: string): void;
}

/** Location of one end of a link. */
export interface LinkEndpoint {
    readonly failureDomain: string;
    readonly region: string;
}

/** Returns the delay in milliseconds of a frame of `bytes` between two endpoints; `Infinity` drops the frame. */
export type DelayLink = (from: LinkEndpoint, to: LinkEndpoint, bytes: number) => number;

export interface MeshOptions {
    readonly id: string;
    readonly address: string;
    /** Port for connections of other daemons; 0 selects a free one. */
    readonly peerPort: number;
    /** Port on which the daemon accepts relayed requests; announced in the member record. */
    readonly relayPort: number;
    readonly failureDomain: string;
    readonly region: string;
    readonly meshKey: string;
    /** `host:port` of daemons through which this one joins. */
    readonly seeds: readonly string[];
    readonly store: StorePort | undefined;
    /** Wall-clock time in milliseconds; may jump. */
    readonly now: () => number;
    readonly random: Random;
    readonly log: MeshLog;
    /** Simulated latency and link capacity, for measurements and the demo. */
    readonly delayLink?: DelayLink;
    readonly network?: PeerNetwork;
    readonly timers?: Timers;
}

/** Traffic and store calls since the start. */
export interface ControlCounters {
    readonly sentBytes: number;
    readonly receivedBytes: number;
    readonly sentBytesAcrossRegions: number;
    readonly receivedBytesAcrossRegions: number;
    readonly sentMessages: number;
    readonly storeCalls: number;
}

/** State of one daemon and, if a region relay answers, of the mesh. */
export interface MeshStatus {
    readonly id: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly rank: number;
    readonly isDomainRelay: boolean;
    readonly isRegionRelay: boolean;
    readonly parent: string | undefined;
    readonly children: number;
    readonly members: number;
    readonly isSettled: boolean;
    readonly receivedVersion: number;
    readonly releasedVersion: number;
    /** False if the released version was held by only one failure domain. */
    readonly isWitnessed: boolean;
    readonly inForceVersion: number;
    readonly waiting: readonly string[];
    /** Undefined until the first store call has completed. */
    readonly isStoreReachable: boolean | undefined;
    readonly cutOff: readonly CutOffDomain[];
    readonly counters: ControlCounters;
    readonly mesh: MeshSummary | undefined;
}

/** The control plane of a daemon. */
export interface MeshNode {
    readonly peerPort: number;
    readonly relayPort: number;
    readView(): MeshView;
    /** Calls `listener` after changes of the view; returns a function that unsubscribes it. */
    subscribeView(listener: (view: MeshView) => void): () => void;
    /** Publishes the state of the backend server; `left` and `dead` withdraw the server but not the daemon. */
    announceServer(record: ServerRecord, state: MemberState): void;
    readStatus(): Promise<MeshStatus>;
    readCounters(): ControlCounters;
    /** Leaves gracefully: publishes `left`, hands over children and relay duties, then closes. */
    stop(): Promise<void>;
    /** Closes immediately without notifying peers, like a crash; for tests and measurements. */
    closeAbruptly(): Promise<void>;
}
