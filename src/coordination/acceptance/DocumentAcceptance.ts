/** Applies a document: writes its parts and manifest, then makes it the current version. */
import type { Either } from "purify-ts/Either";
import { Right } from "purify-ts/Either";
import type { SourceDocument } from "../../state/document/index.js";
import { splitDocument, validateDocument } from "../../state/document/index.js";
import type { Manifest, Part, Resource, Snapshot } from "../../state/versions/index.js";
import {
    buildParts,
    computeDelta,
    computeRootHash,
    createManifest,
    formatManifestKey,
    formatPartKey,
    mapResourcesByName,
    MAXIMUM_DELTA_BYTES,
} from "../../state/versions/index.js";
import type { ApplyOutcome, LoadError, StoreAccess } from "./AcceptanceTypes.js";
import { describeLoadError } from "./AcceptanceTypes.js";
import { writeHead } from "./HeadWriting.js";
import type { StoredHead } from "./History.js";
import { readHead, summarizeVersion } from "./History.js";
import type { KeyedManifest } from "./SnapshotLoading.js";
import { loadManifestSnapshot, readManifest } from "./SnapshotLoading.js";
import { createRetryingRead, writeImmutable } from "./StoreRetries.js";

/** A document to apply, its author, and the version that the author edited. */
export interface ApplyRequest extends StoreAccess {
    readonly source: SourceDocument;
    readonly author: string;
    readonly message: string;
    /** Current time in milliseconds; recorded in the history. */
    readonly now: number;
    /** The version that the author edited; 0 for none. Another current version is a conflict. */
    readonly ifVersion?: number;
    readonly meshKey: string;
}

/** The current version, on which the new one is based. */
interface BaseVersion {
    readonly stored: StoredHead;
    readonly keyed: KeyedManifest;
    /** Undefined if parts are damaged; the new version is then written without a delta. */
    readonly snapshot: Snapshot | undefined;
}

/** Reads the current version; undefined before the first one. */
async function readBaseVersion(
    access: StoreAccess,
    meshKey: string,
): Promise<Either<LoadError, BaseVersion | undefined>> {
    const read = createRetryingRead(access);
    const head = await readHead(read);
    const stored = head.orDefault(undefined);
    if (stored === undefined) {
        return head.map(() => undefined);
    }
    const found = await readManifest(read, stored.head.manifest, meshKey);
    if (found.isLeft()) {
        return found.map(() => undefined);
    }
    const keyed = found.unsafeCoerce();
    const snapshot = await loadManifestSnapshot(read, keyed, undefined, meshKey);
    if (snapshot.isLeft() && (snapshot.extract() as LoadError).kind === "store") {
        return snapshot.map(() => undefined);
    }
    return Right({ keyed, snapshot: snapshot.toMaybe().extract(), stored });
}

/** Creates the manifest of the new version; a delta that is too large is omitted. */
function createProposal(
    request: ApplyRequest,
    base: BaseVersion | undefined,
    resources: ReadonlyMap<string, Resource>,
    parts: readonly Part[],
): KeyedManifest & { readonly text: string; } {
    const delta = base?.snapshot === undefined ? undefined : computeDelta(base.snapshot.resources, resources);
    const isSmall = delta !== undefined && Buffer.byteLength(JSON.stringify(delta)) <= MAXIMUM_DELTA_BYTES;
    const unsigned: Omit<Manifest, "mac"> = {
        author: request.author,
        ...(isSmall ? { delta } : {}),
        message: request.message,
        parts: parts.map(part => part.hash),
        previous: base?.keyed.key ?? null,
        root: computeRootHash(resources),
        time: request.now,
        version: (base?.stored.head.version ?? 0) + 1,
    };
    const manifest = createManifest(unsigned, request.meshKey);
    const text = JSON.stringify(manifest);
    return { key: formatManifestKey(text), manifest, text };
}

/** Writes the parts that the base version lacks, then the manifest. They take effect only when the head is written. */
async function writeObjects(
    access: StoreAccess,
    base: BaseVersion | undefined,
    parts: readonly Part[],
    proposal: { readonly key: string; readonly text: string; },
): Promise<Either<string, void>> {
    const present = new Set(base?.snapshot === undefined ? [] : base.keyed.manifest.parts);
    const objects = [
        ...parts.filter(part => !present.has(part.hash)).map(({ hash, text }) => ({ key: formatPartKey(hash), text })),
        proposal,
    ];
    for (const { key, text } of objects) {
        const written = await writeImmutable(access, key, text);
        if (written.isLeft()) {
            return written.mapLeft(error => `"${key}" could not be written: ${error.detail}`);
        }
    }
    return Right(undefined);
}

function checkBaseVersion(
    { ifVersion }: ApplyRequest,
    base: BaseVersion | undefined,
    root: string,
): ApplyOutcome | undefined {
    if (base?.keyed.manifest.root === root) {
        return { kind: "unchanged", version: summarizeVersion(base.keyed) };
    }
    const currentVersion = base?.stored.head.version ?? 0;
    if (ifVersion === undefined || ifVersion === currentVersion) {
        return undefined;
    }
    return base === undefined
        ? { detail: `The store has no version, but version ${ifVersion} was edited.`, kind: "failed" }
        : { currentVersion, kind: "conflict", other: summarizeVersion(base.keyed) };
}

/**
 * Applies a document. The outcome is certain even if answers of the store are lost, unless the store
 * can't be read to determine it (`unknown`); applying the same document again then resolves it.
 */
export async function applyDocument(request: ApplyRequest): Promise<ApplyOutcome> {
    const validated = validateDocument(request.source);
    if (validated.isLeft()) {
        return { findings: validated.swap().unsafeCoerce(), kind: "refused" };
    }
    const read = await readBaseVersion(request, request.meshKey);
    if (read.isLeft()) {
        return { detail: describeLoadError(read.swap().unsafeCoerce()), kind: "failed" };
    }
    const base = read.unsafeCoerce();
    const resources = mapResourcesByName(splitDocument(request.source));
    const earlyOutcome = checkBaseVersion(request, base, computeRootHash(resources));
    if (earlyOutcome !== undefined) {
        return earlyOutcome;
    }
    const parts = buildParts(resources.values());
    const proposal = createProposal(request, base, resources, parts);
    const written = await writeObjects(request, base, parts, proposal);
    if (written.isLeft()) {
        return { detail: written.swap().unsafeCoerce(), kind: "failed" };
    }
    return writeHead(request, {
        base: base?.stored,
        meshKey: request.meshKey,
        proposed: { key: proposal.key, manifest: proposal.manifest },
    });
}
