import type { MeshSummary } from "../../coordination/summary/index.js";
import type { CutOffDomain } from "../../protocol/peer/index.js";
import type { MemberState, ServerRecord } from "../../state/members/index.js";
import type { Random } from "../../state/shared/index.js";
import type { StorePort } from "../../state/store/index.js";
import type { MeshView } from "../../state/view/index.js";
import type { PeerNetwork } from "../peer/index.js";
import type { Timers } from "./Timers.js";

/** Log functions as `bunyan` has them. */
export interface MeshLog {
    debug(fields: object, message: string): void;
    info(fields: object, message: string): void;
    warn(fields: object, message: string): void;
}

/** Where an end of a link stands. */
export interface LinkEndpoint {
    readonly failureDomain: string;
    readonly region: string;
}

/** Delay in milliseconds of a frame of `bytes` between two places; `Infinity` loses it. */
export type DelayLink = (from: LinkEndpoint, to: LinkEndpoint, bytes: number) => number;

export interface MeshOptions {
    readonly id: string;
    readonly address: string;
    /** Port for connections of other daemons; 0 for any free one. */
    readonly peerPort: number;
    /** Port of the daemon's listener for relayed requests; announced in the member record. */
    readonly relayPort: number;
    readonly failureDomain: string;
    readonly region: string;
    readonly meshKey: string;
    /** `host:port` of daemons to join by. */
    readonly seeds: readonly string[];
    readonly store: StorePort | undefined;
    /** Present time in milliseconds; may jump. */
    readonly now: () => number;
    readonly random: Random;
    readonly log: MeshLog;
    /** Latency and link capacity that measurements and the demo apply. */
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

/** State of one daemon and, when a region relay could be asked, of the mesh. */
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
    /** False when the released version was held by one failure domain only. */
    readonly isWitnessed: boolean;
    readonly inForceVersion: number;
    readonly waiting: readonly string[];
    /** Undefined while the daemon has not needed the store. */
    readonly isStoreReachable: boolean | undefined;
    readonly cutOff: readonly CutOffDomain[];
    readonly counters: ControlCounters;
    readonly mesh: MeshSummary | undefined;
}

/** The control part of a daemon. */
export interface MeshNode {
    readonly peerPort: number;
    readonly relayPort: number;
    readView(): MeshView;
    /** Calls `listener` after each change of the view; returns the teardown. */
    subscribeView(listener: (view: MeshView) => void): () => void;
    /** Publishes the state of the backend server; `left` and `dead` withdraw it while the daemon stays. */
    announceServer(record: ServerRecord, state: MemberState): void;
    readStatus(): Promise<MeshStatus>;
    readCounters(): ControlCounters;
    /** Leaves gracefully: records `left`, hands over children and relay duties, then closes. */
    stop(): Promise<void>;
    /** Closes at once without telling anyone, as a crash does; for tests and measurements. */
    closeAbruptly(): Promise<void>;
}
