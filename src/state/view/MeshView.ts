import type { MeshDocument } from "../document/index.js";
import type { Member } from "../members/index.js";

/** The version that is in force on this daemon. */
export interface ConfigurationInForce {
    readonly version: number;
    readonly root: string;
    readonly document: MeshDocument;
}

/** What one daemon knows of the mesh at one moment. Immutable; replaced whole on each change. */
export interface MeshView {
    /** Undefined until a version is in force, for example before the daemon has settled. */
    readonly configuration: ConfigurationInForce | undefined;
    /** Every member known, the own one included, by daemon id. */
    readonly members: ReadonlyMap<string, Member>;
    /** Members with a backend server that is `starting`, `live` or `leaving`, by service. */
    readonly membersByService: ReadonlyMap<string, readonly Member[]>;
    /** Failure domains of which no member can be reached. */
    readonly cutOffDomains: ReadonlySet<string>;
}

/** Reads the present view; cheap enough for each request. */
export type ReadMeshView = () => MeshView;
