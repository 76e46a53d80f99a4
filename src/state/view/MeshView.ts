import type { MeshDocument } from "../document/index.js";
import type { Member } from "../members/index.js";

/** The version that is in force on this daemon. */
export interface ConfigurationInForce {
    readonly version: number;
    readonly root: string;
    readonly document: MeshDocument;
}

/** State of the mesh as one daemon knows it at one moment. Immutable; replaced as a whole on each change. */
export interface MeshView {
    /** Undefined until a version is in force, for example before the daemon has settled. */
    readonly configuration: ConfigurationInForce | undefined;
    /** All known members, including the daemon's own, by daemon id. */
    readonly members: ReadonlyMap<string, Member>;
    /** Members with a backend server that is `starting`, `live` or `leaving`, by service. */
    readonly membersByService: ReadonlyMap<string, readonly Member[]>;
    /** Failure domains with no reachable member. */
    readonly cutOffDomains: ReadonlySet<string>;
}

/** Returns the current view; cheap enough to call for each request. */
export type ReadMeshView = () => MeshView;
