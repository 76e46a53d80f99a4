import type { Member } from "../members/index.js";
import type { StoreResult } from "./StorePort.js";

/** Text of a configuration version and its position in the store's order of changes. */
export interface ConfigurationText {
    readonly revision: number;
    readonly text: string;
}

/** Result of reading or watching the configuration. */
export interface ConfigurationReadResult {
    /** Undefined if there is none, or no newer one. */
    readonly configuration: ConfigurationText | undefined;
    /** Position from which the next watch continues. */
    readonly position: number;
}

/** Store operations of a daemon on a platform whose operator writes the configuration to the store. */
export interface MeshStorePort {
    readConfiguration(): StoreResult<ConfigurationReadResult>;
    /** Waits at most `waitMs` for a version after `position`; refused as `history` if the store no longer knows it. */
    watchConfiguration(position: number, waitMs: number): StoreResult<ConfigurationReadResult>;
    /** Lists the records of all daemons; malformed entries are skipped. */
    listMembers(): StoreResult<readonly Member[]>;
    /** Creates or replaces the record of this daemon. */
    writeMember(member: Member): StoreResult<void>;
    deleteMember(id: string): StoreResult<void>;
}
