/** Interface through which the console reads and updates the configuration; the entry point provides it. */
import type { Either } from "purify-ts/Either";
import type { RegionStatus } from "../../../coordination/summary/index.js";
import type { SourceDocument } from "../../../state/document/index.js";

/** An accepted version, without its document. */
export interface VersionRecord {
    readonly version: number;
    readonly root: string;
    readonly author: string;
    /** Time of acceptance by the author's clock, milliseconds since the epoch. */
    readonly time: number;
    readonly message: string;
}

export interface AcceptedDocument extends VersionRecord {
    readonly document: SourceDocument;
}

/** Why the store could not be read. */
export interface ReadFailure {
    readonly detail: string;
}

export type ReadResult<T> = Promise<Either<ReadFailure, T>>;

/** A document to be accepted as the version after `baseVersion`, which is 0 for an empty store. */
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
    /** The document was certainly not accepted. */
    | { readonly kind: "refused"; readonly detail: string; }
    /** The answer was lost, so the document may have been accepted. */
    | { readonly kind: "unknown"; readonly detail: string; };

/** Status of the mesh as the relay of one region last wrote it. */
export interface ReportedStatus {
    readonly region: string;
    readonly status: RegionStatus;
}

export interface ConfigurationPort {
    /** Reads the current version; undefined while the store has none. */
    readCurrent(): ReadResult<AcceptedDocument | undefined>;
    /** Reads a version by number; undefined when it does not exist. */
    readVersion(version: number): ReadResult<AcceptedDocument | undefined>;
    /** Reads at most `limit` versions, the newest first. */
    readHistory(limit: number): ReadResult<readonly VersionRecord[]>;
    /** Proposes a document by a conditional update. */
    propose(proposal: ProposedDocument): Promise<ProposalResult>;
    /** Reads the last status of each region; regions without a status are omitted. */
    readStatus(regions: readonly string[]): ReadResult<readonly ReportedStatus[]>;
}
