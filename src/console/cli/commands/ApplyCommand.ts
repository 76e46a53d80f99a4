import { applyDocument } from "../../../coordination/acceptance/index.js";
import { createCommand, parseCount } from "../CliCommand.js";
import { JSON_FLAG, STORE_FLAGS, withStore } from "../CliConnections.js";
import type { CliContext } from "../CliContext.js";
import { readDocumentFile } from "../CliDocuments.js";
import { reportOutcome } from "../CliVersions.js";
import { CommandFailure, ExitCode } from "../ExitCode.js";

export const AUTHOR_FLAG = {
    author: { description: "Who changes the document; or PAPAYATURN_AUTHOR, or USER.", type: "string" },
} as const;

/** Returns the author that the version records; fails the command when none is known. */
export function requireAuthor(author: string | undefined, { environment }: CliContext): string {
    const found = author ?? environment["PAPAYATURN_AUTHOR"] ?? environment["USER"];
    if (found === undefined || found === "") {
        throw new CommandFailure(ExitCode.Usage, "The author is not known: use --author.");
    }
    return found;
}

export const applyCommand = createCommand({
    name: "apply",
    description: "Make a document the current version.",
    args: {
        file: { description: "Document, YAML or JSON; - for standard input.", required: true, type: "positional" },
        "if-version": {
            description: "Accept only when this version is current, 0 for none; otherwise report a conflict.",
            type: "string",
        },
        "message": {
            alias: "m",
            default: "",
            description: "Reason of the change, kept in the history.",
            type: "string",
        },
        ...AUTHOR_FLAG,
        ...STORE_FLAGS,
        ...JSON_FLAG,
    },
    examples: ["papayaturn apply --if-version 12 --message \"More slots for deposits\" mesh.yaml"],
    async run(args, context) {
        const ifVersion = parseCount("--if-version", args["if-version"]);
        const author = requireAuthor(args.author, context);
        const source = await readDocumentFile(context, args.file, args.json);
        if (source === undefined) {
            return ExitCode.Refused;
        }
        const outcome = await withStore(args, context, ({ access, meshKey }) =>
            applyDocument({
                ...access,
                author,
                ...(ifVersion === undefined ? {} : { ifVersion }),
                meshKey,
                message: args.message,
                now: context.now(),
                source,
            }));
        return reportOutcome(context, args.json, outcome);
    },
});
