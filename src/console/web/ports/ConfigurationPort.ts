/** What the console needs from the outside; the composition root passes it in. */
import type { Either } from "purify-ts/Either";
import type { RegionStatus } from "../../../coordination/summary/index.js";
import type { SourceDocument } from "../../../state/document/index.js";

/** An accepted version, without its document. */
export interface VersionRecord {
    readonly version: number;
    readonly root: string;
    readonly author: string;
    /** Time of acceptance by the author's clock, milliseconds. */
    readonly time: number;
    readonly message: string;
}

export interface AcceptedDocument extends VersionRecord {
    readonly document: SourceDocument;
}

/** The store could not be read. */
export interface ReadFailure {
    readonly detail: string;
}

export type ReadResult<T> = Promise<Either<ReadFailure, T>>;

/** A document to be accepted as the version after `baseVersion`; 0 stands for an empty store. */
export interface ProposedDocument {
    readonly document: SourceDocument;
    readonly baseVersion: number;
    readonly author: string;
    readonly message: string;
}

export type ProposalResult =
    | { readonly kind: "accepted"; readonly version: number; }
    | { readonly kind: "unchanged"; readonly version: number; }
    /** Another version was accepted first. */
    | { readonly kind: "conflict"; }
    /** Certainly not accepted. */
    | { readonly kind: "refused"; readonly detail: string; }
    /** The answer was lost: it may have been accepted. */
    | { readonly kind: "unknown"; readonly detail: string; };

/** Status of the mesh as the relay of one region last wrote it. */
export interface ReportedStatus {
    readonly region: string;
    readonly status: RegionStatus;
}

export interface ConfigurationPort {
    /** Reads the newest version; undefined while the store holds none. */
    readCurrent(): ReadResult<AcceptedDocument | undefined>;
    /** Reads a past version; undefined when there is none of this number. */
    readVersion(version: number): ReadResult<AcceptedDocument | undefined>;
    /** Reads the newest versions, at most `limit`, the newest first. */
    readHistory(limit: number): ReadResult<readonly VersionRecord[]>;
    /** Proposes a document by a conditional update. */
    propose(proposal: ProposedDocument): Promise<ProposalResult>;
    /** Reads the status that each of the regions last wrote; a region that wrote none is left out. */
    readStatus(regions: readonly string[]): ReadResult<readonly ReportedStatus[]>;
}
