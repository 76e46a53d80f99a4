import { applyDocument } from "../../../coordination/acceptance/index.js";
import { createCommand, parseCount } from "../CliCommand.js";
import { JSON_FLAG, STORE_FLAGS, withStore } from "../CliConnections.js";
import { reportOutcome, requireDocument } from "../CliVersions.js";
import { AUTHOR_FLAG, requireAuthor } from "./ApplyCommand.js";

export const rollbackCommand = createCommand({
    name: "rollback",
    description: "Make the document of an earlier version current again, as a new version.",
    args: {
        "earlier": { description: "Number of the earlier version.", required: true, type: "positional" },
        "if-version": { description: "Accept only when this version is current.", type: "string" },
        "message": { alias: "m", description: "Reason of the change, kept in the history.", type: "string" },
        ...AUTHOR_FLAG,
        ...STORE_FLAGS,
        ...JSON_FLAG,
    },
    examples: ["papayaturn rollback 12 --message \"Deposits failed since 13\""],
    async run(args, context) {
        const version = parseCount("The version", args.earlier);
        const ifVersion = parseCount("--if-version", args["if-version"]);
        const author = requireAuthor(args.author, context);
        const outcome = await withStore(args, context, async connection => {
            const { source } = await requireDocument(connection, version);
            return applyDocument({
                ...connection.access,
                author,
                ...(ifVersion === undefined ? {} : { ifVersion }),
                meshKey: connection.meshKey,
                message: args.message ?? `Roll back to version ${version}`,
                now: context.now(),
                source,
            });
        });
        return reportOutcome(context, args.json, outcome);
    },
});
