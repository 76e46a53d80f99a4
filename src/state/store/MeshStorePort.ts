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

/** Store operations of a daemon on a platform whose operator writes the configuration to the store. */
export interface MeshStorePort {
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
