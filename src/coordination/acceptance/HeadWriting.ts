/** Writes the head, which makes a version the current one, and resolves lost answers. */
import type { PutCondition, StoreError } from "../../state/store/index.js";
import type { Head, Manifest } from "../../state/versions/index.js";
import { HEAD_KEY } from "../../state/versions/index.js";
import type { ApplyOutcome, StoreAccess } from "./AcceptanceTypes.js";
import { describeLoadError } from "./AcceptanceTypes.js";
import type { StoredHead } from "./History.js";
import { readHead, summarizeVersion, walkVersions } from "./History.js";
import type { KeyedManifest } from "./SnapshotLoading.js";
import { isRetryable, runWithRetries } from "./StoreRetries.js";

/** A version whose objects are in the store, and the head that it is based on. */
export interface Proposal {
    readonly proposed: KeyedManifest;
    readonly base: StoredHead | undefined;
    readonly meshKey: string;
}

function createHead({ key, manifest }: { readonly key: string; readonly manifest: Manifest; }): Head {
    return { manifest: key, root: manifest.root, version: manifest.version };
}

function createUnknownOutcome({ proposed }: Proposal, detail: string): ApplyOutcome {
    return { detail, kind: "unknown", proposedVersion: proposed.manifest.version };
}

function createFailedOutcome(detail: string): ApplyOutcome {
    return { detail: `The version was not accepted: ${detail}`, kind: "failed" };
}

function createAcceptedOutcome({ proposed }: Proposal): ApplyOutcome {
    return { kind: "accepted", version: summarizeVersion(proposed) };
}

/** Reads the head and determines whether the proposed version, another one or none became part of the history. */
async function resolveOutcome(access: StoreAccess, proposal: Proposal): Promise<ApplyOutcome> {
    const read = await readHead(key => access.store.get(key));
    if (read.isLeft()) {
        const error = read.swap().unsafeCoerce();
        return createUnknownOutcome(proposal, describeLoadError(error));
    }
    const stored = read.unsafeCoerce();
    if (stored?.objectVersion === proposal.base?.objectVersion) {
        return createFailedOutcome("the store did not perform the write");
    }
    return stored === undefined
        ? createUnknownOutcome(proposal, `"${HEAD_KEY}" was deleted.`)
        : findProposalInHistory(access, proposal, stored.head);
}

/** Walks back from the head to the version number that was proposed and compares the manifests. */
async function findProposalInHistory(access: StoreAccess, proposal: Proposal, head: Head): Promise<ApplyOutcome> {
    const { meshKey, proposed } = proposal;
    for await (const found of walkVersions(key => access.store.get(key), head.manifest, meshKey)) {
        if (found.isLeft()) {
            return createUnknownOutcome(proposal, describeLoadError(found.swap().unsafeCoerce()));
        }
        const version = found.unsafeCoerce();
        if (version.key === proposed.key) {
            return createAcceptedOutcome(proposal);
        }
        if (version.manifest.version <= proposed.manifest.version) {
            return { currentVersion: head.version, kind: "conflict", other: summarizeVersion(version) };
        }
    }
    return createUnknownOutcome(proposal, "The history has no version with the proposed number.");
}

/** Result of one attempt to write the head. */
interface HeadAttempt {
    readonly outcome: ApplyOutcome;
    /** Whether a further attempt can't change the outcome. */
    readonly isCertain: boolean;
    /** Whether the write was sent and its answer was lost, so that it may still take effect. */
    readonly isAnswerLost: boolean;
}

async function tryWriteHead(
    access: StoreAccess,
    proposal: Proposal,
    text: string,
    condition: PutCondition,
): Promise<HeadAttempt> {
    const written = await access.store.put(HEAD_KEY, text, condition);
    if (written.isRight()) {
        return { isAnswerLost: false, isCertain: true, outcome: createAcceptedOutcome(proposal) };
    }
    const error = written.extract() as StoreError;
    const isAnswerLost = error.kind === "unknown";
    if (isAnswerLost || error.kind === "refused" && error.reason === "condition") {
        const resolved = await resolveOutcome(access, proposal);
        return {
            isAnswerLost,
            isCertain: resolved.kind === "accepted" || resolved.kind === "conflict",
            outcome: resolved,
        };
    }
    return { isAnswerLost, isCertain: !isRetryable(error), outcome: createFailedOutcome(error.detail) };
}

/**
 * Writes the head on the condition that it is still the one the version is based on. Each attempt uses
 * the same condition, so the write takes effect at most once.
 */
export async function writeHead(access: StoreAccess, proposal: Proposal): Promise<ApplyOutcome> {
    const text = JSON.stringify(createHead(proposal.proposed));
    const condition: PutCondition = proposal.base === undefined
        ? { kind: "absent" }
        : { kind: "version", version: proposal.base.objectVersion };
    let mayTakeEffect = false;
    let last = createFailedOutcome("no attempt was made");
    await runWithRetries(access, async () => {
        const attempt = await tryWriteHead(access, proposal, text, condition);
        mayTakeEffect ||= attempt.isAnswerLost;
        last = attempt.outcome;
        return attempt.isCertain ? attempt : undefined;
    });
    // After a lost answer only an accepted version or a conflict proves the outcome of the write.
    return mayTakeEffect && last.kind === "failed" ? createUnknownOutcome(proposal, last.detail) : last;
}
