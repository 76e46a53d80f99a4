/** Reads versions from the store, and formats versions and outcomes of updates. */
import type { Either } from "purify-ts/Either";
import type { ApplyOutcome, LoadError, VersionSummary } from "../../coordination/acceptance/index.js";
import { describeLoadError, readVersion } from "../../coordination/acceptance/index.js";
import type { SourceDocument } from "../../state/document/index.js";
import { formatFinding, joinResources } from "../../state/document/index.js";
import type { StoreConnection } from "./CliConnections.js";
import type { CliContext } from "./CliContext.js";
import { formatColour } from "./CliContext.js";
import { CommandFailure, ExitCode } from "./ExitCode.js";

/** A version and its document. */
export interface StoredDocument {
    readonly version: number;
    readonly source: SourceDocument;
}

/** Returns the loaded value, or fails the command. */
export function requireLoaded<Loaded>(loaded: Either<LoadError, Loaded>): Loaded {
    return loaded.caseOf({
        Left: error => {
            const exitCode = error.kind === "store" ? ExitCode.Unreachable : ExitCode.Failed;
            throw new CommandFailure(exitCode, describeLoadError(error));
        },
        Right: value => value,
    });
}

/** Reads the document of a version, by default the current one; undefined when there is none. */
export async function readDocument(
    { access, meshKey }: StoreConnection,
    version: number | undefined,
): Promise<StoredDocument | undefined> {
    const snapshot = requireLoaded(await readVersion(access, version, meshKey));
    return snapshot === undefined
        ? undefined
        : { source: joinResources(snapshot.resources.values()), version: snapshot.manifest.version };
}

/** Reads the document of a version; fails the command when there is none. */
export async function requireDocument(
    connection: StoreConnection,
    version: number | undefined,
): Promise<StoredDocument> {
    const found = await readDocument(connection, version);
    if (found === undefined) {
        const message = version === undefined ? "The store has no version yet." : `There is no version ${version}.`;
        throw new CommandFailure(ExitCode.NotFound, message);
    }
    return found;
}

function countChanges({ changed, removed }: VersionSummary): string {
    if (changed === undefined || removed === undefined) {
        return "";
    }
    return `, ${changed.length} changed and ${removed.length} removed`;
}

/** Formats a version as one line. */
export function formatVersion(version: VersionSummary): string {
    const message = version.message === "" ? "" : `: ${version.message}`;
    const time = new Date(version.time).toISOString();
    return `version ${version.version} by ${version.author} at ${time}${countChanges(version)}${message}`;
}

const OUTCOME_EXIT_CODES = {
    accepted: ExitCode.Success,
    conflict: ExitCode.Conflict,
    failed: ExitCode.Failed,
    refused: ExitCode.Refused,
    unchanged: ExitCode.Success,
    unknown: ExitCode.Unknown,
} as const;

/** Formats the outcome of an update as lines. */
function formatOutcome(outcome: ApplyOutcome): readonly string[] {
    switch (outcome.kind) {
        case "accepted":
            return [`Accepted: ${formatVersion(outcome.version)}`];
        case "unchanged":
            return [`Unchanged: ${formatVersion(outcome.version)}`];
        case "refused":
            return outcome.findings.map(formatFinding);
        case "conflict":
            return [
                `Conflict: ${formatVersion(outcome.other)} came first. Nothing was accepted.`,
                `The current version is ${outcome.currentVersion}; see "papayaturn diff" and apply again.`,
            ];
        case "failed":
            return [`Failed: ${outcome.detail}`];
        case "unknown":
            return [
                `Unknown: version ${outcome.proposedVersion} may have been accepted. ${outcome.detail}`,
                "Apply the same document again to find out; it is not accepted twice.",
            ];
    }
}

/** Writes the outcome of an update and returns the exit code for it. */
export function reportOutcome(context: CliContext, isJson: boolean | undefined, outcome: ApplyOutcome): ExitCode {
    const exitCode = OUTCOME_EXIT_CODES[outcome.kind];
    if (isJson === true) {
        context.write(`${JSON.stringify(outcome, undefined, 4)}\n`);
        return exitCode;
    }
    const text = formatOutcome(outcome).join("\n");
    if (exitCode === ExitCode.Success) {
        context.write(`${formatColour(context, "green", text)}\n`);
    }
    else {
        context.writeError(`${text}\n`);
    }
    return exitCode;
}
