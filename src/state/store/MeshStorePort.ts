import type { Member } from "../members/index.js";
import type { StoreResult } from "./StorePort.js";

/** Text of a configuration version and its place in the store's order of changes. */
export interface ConfigurationText {
    readonly revision: number;
    readonly text: string;
}

/** What a read or watch of the configuration gave. */
export interface ConfigurationReadResult {
    /** Undefined when there is none, or no newer one. */
    readonly configuration: ConfigurationText | undefined;
    /** Where a watch goes on. */
    readonly position: number;
}

/** What a daemon keeps in the store of a platform whose operator writes the configuration there. */
export interface MeshStorePort {
    readConfiguration(): StoreResult<ConfigurationReadResult>;
    /** Waits at most `waitMs` for a version after `position`; refused as `history` when that is no longer known. */
    watchConfiguration(position: number, waitMs: number): StoreResult<ConfigurationReadResult>;
    /** Records of all daemons; entries that are no records are left out. */
    listMembers(): StoreResult<readonly Member[]>;
    /** Writes the record of this daemon, whether or not there is one. */
    writeMember(member: Member): StoreResult<void>;
    deleteMember(id: string): StoreResult<void>;
}
