/** Outcomes of applying a document, and errors of reading a version from the store. */
import type { Finding } from "../../state/document/index.js";
import type { Random } from "../../state/shared/index.js";
import type { StoreError, StorePort } from "../../state/store/index.js";

/** The store, and the effects that retries need. */
export interface StoreAccess {
    readonly store: StorePort;
    readonly sleep: (ms: number) => Promise<void>;
    readonly random: Random;
}

/** Why a version could not be read. */
export type LoadError =
    | { readonly kind: "store"; readonly error: StoreError; }
    /** An object is missing, truncated or malformed, or its content has another hash. */
    | { readonly kind: "damaged"; readonly detail: string; }
    /** The manifest was not signed with the mesh key. */
    | { readonly kind: "forged"; readonly detail: string; };

/** A version as listed in the history. */
export interface VersionSummary {
    readonly version: number;
    readonly author: string;
    /** Time of acceptance by the author's clock, milliseconds. */
    readonly time: number;
    readonly message: string;
    readonly root: string;
    readonly manifestKey: string;
    /** Names of changed and removed resources; undefined if the change was too large to be stored. */
    readonly changed?: readonly string[];
    readonly removed?: readonly string[];
}

/** Result of applying a document. Each outcome except `unknown` is certain. */
export type ApplyOutcome =
    | { readonly kind: "accepted"; readonly version: VersionSummary; }
    /** The current version holds the same document. */
    | { readonly kind: "unchanged"; readonly version: VersionSummary; }
    | { readonly kind: "refused"; readonly findings: readonly Finding[]; }
    /** Nothing was accepted because `other` came first; `currentVersion` may be newer still. */
    | { readonly kind: "conflict"; readonly other: VersionSummary; readonly currentVersion: number; }
    /** Nothing was accepted and nothing will be. */
    | { readonly kind: "failed"; readonly detail: string; }
    /** The store could not be read to determine the outcome; the version may have been or may still be accepted. */
    | { readonly kind: "unknown"; readonly detail: string; readonly proposedVersion: number; };

/** Describes a load error for operators. */
export function describeLoadError(error: LoadError): string {
    return error.kind === "store" ? `The store could not be read: ${error.error.detail}` : error.detail;
}
