/** One named entry of a document: `mesh`, `service/x`, `route/x`, `class/x` or `resource/x`. */
export interface Resource {
    readonly name: string;
    /** JSON text of the entry as the operator wrote it, with keys sorted. */
    readonly content: string;
    /** SHA-256 of `content`, hexadecimal. */
    readonly hash: string;
}

/** Changes from the version with root `fromRoot` to the one with root `toRoot`. */
export interface VersionDelta {
    readonly fromRoot: string;
    readonly toRoot: string;
    readonly changed: readonly Resource[];
    readonly removed: readonly string[];
}

/** Immutable description of an accepted version, stored under `config/manifests/<hash>`. */
export interface Manifest {
    readonly version: number;
    readonly root: string;
    /** Key of the previous manifest, or null for the first. */
    readonly previous: string | null;
    /** Hashes of the parts that hold the resources. */
    readonly parts: readonly string[];
    /** Present if its size is at most `MAXIMUM_DELTA_BYTES`. */
    readonly delta?: VersionDelta;
    readonly author: string;
    /** Time of acceptance by the author's clock, in milliseconds. */
    readonly time: number;
    readonly message: string;
    /** HMAC-SHA256 with the mesh key over version, root, previous, author, time and message, hexadecimal. */
    readonly mac: string;
}

/** Value of `config/head`, the only mutable object of the configuration. */
export interface Head {
    readonly version: number;
    readonly root: string;
    /** Key of the manifest. */
    readonly manifest: string;
}

/** A complete version held in memory. */
export interface Snapshot {
    readonly manifest: Manifest;
    readonly manifestKey: string;
    /** Resources by name. Unchanged resources are shared between snapshots. */
    readonly resources: ReadonlyMap<string, Resource>;
}
