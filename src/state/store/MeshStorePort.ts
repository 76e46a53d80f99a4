import type { Member } from "../members/index.js";
import type { StoreResult } from "./StorePort.js";

/** Text of a configuration version. */
export interface ConfigurationText {
    /** The operator's number, which orders the versions; undefined if the text has none. */
    readonly version: number | undefined;
    /** Revision of the store that holds the text. A store that was restored from a copy gives out revisions once more. */
    readonly revision: number;
    readonly text: string;
}

/** Position in the changes of the store. */
export interface StorePosition {
    /** How many times the store was restored from a copy; positions of different eras can't be compared. */
    readonly era: number;
    readonly revision: number;
}

/** Result of reading or watching the configuration. */
export interface ConfigurationReadResult {
    /** Undefined if there is none, or no newer one. */
    readonly configuration: ConfigurationText | undefined;
    /** Position from which the next watch continues. */
    readonly position: StorePosition;
}

/** A request that runs nowhere since it crashes servers, for daemons that start after all others were lost. */
export interface QuarantineRecord {
    readonly fingerprint: string;
    /** Names of the server starts that ended under it. */
    readonly crashIds: readonly string[];
    /** Unix milliseconds. */
    readonly quarantinedAt: number;
}

/** A roll-out as the operator has ordered it. */
export interface RolloutRecord {
    /** Name of the object, which is that of the service. */
    readonly name: string;
    readonly revision: number;
    readonly service: string;
    readonly targetVersion: string;
    /** Time for the roll-out; 0 or less if the order names none. */
    readonly finishByMs: number;
    /** Status that was written last; undefined if there is none that can be read. */
    readonly status: RolloutStatus | undefined;
}

export interface RolloutStatus {
    readonly state: "running" | "succeeded" | "rolledBack";
    readonly targetVersion: string;
}

export interface RolloutListing {
    readonly rollouts: readonly RolloutRecord[];
    /** Position from which the next watch continues. */
    readonly position: StorePosition;
}

/** Store operations for roll-outs, which only daemons with roll-outs call. */
export interface RolloutStorePort {
    listRollouts(): StoreResult<RolloutListing>;
    /** Waits at most `waitMs` for changes after `position`; refused as `history` as `watchConfiguration` is. */
    watchRollouts(position: StorePosition, waitMs: number): StoreResult<RolloutListing>;
    /** Undefined if there is no order of this name. */
    readRollout(name: string): StoreResult<RolloutRecord | undefined>;
    /**
     * Writes the status if the object still has this revision. Returns the stored object: with the new status, or as another
     * writer has left it; undefined if it can't be read.
     */
    writeRolloutStatus(name: string, revision: number, status: RolloutStatus): StoreResult<RolloutRecord | undefined>;
}

/** Store operations of a daemon on a platform whose operator writes the configuration to the store. */
export interface MeshStorePort extends RolloutStorePort {
    readConfiguration(): StoreResult<ConfigurationReadResult>;
    /**
     * Waits at most `waitMs` for a version after `position`; refused as `history` if the store no longer knows it, or was
     * restored from a copy since. Fails when there is no answer within `timeoutMs`, by default some time after the wait.
     */
    watchConfiguration(
        position: StorePosition,
        waitMs: number,
        timeoutMs?: number,
    ): StoreResult<ConfigurationReadResult>;
    /** Lists the records of all daemons; malformed entries are skipped. Each page has `timeoutMs`, or some seconds. */
    listMembers(timeoutMs?: number): StoreResult<readonly Member[]>;
    /** Creates or replaces the record of this daemon; each of up to two calls has `timeoutMs`, or some seconds. */
    writeMember(member: Member, timeoutMs?: number): StoreResult<void>;
    deleteMember(id: string): StoreResult<void>;
    /** Lists the quarantined requests, perhaps as they were some seconds ago; malformed entries are skipped. */
    listQuarantines(): StoreResult<readonly QuarantineRecord[]>;
    /** Creates the record of a quarantined request; one that exists stays as it is. */
    writeQuarantine(record: QuarantineRecord): StoreResult<void>;
    deleteQuarantine(fingerprint: string): StoreResult<void>;
    /** Era that the last answer named; undefined before the first one. */
    readEra(): number | undefined;
    /** Bytes of answers received since the start, also of answers that did not become complete. */
    readReceivedBytes(): number;
}
