import { readHistory } from "../../../coordination/acceptance/index.js";
import { createCommand, parseCount } from "../CliCommand.js";
import { JSON_FLAG, STORE_FLAGS, withStore } from "../CliConnections.js";
import { writeResult } from "../CliContext.js";
import { formatVersion, requireLoaded } from "../CliVersions.js";
import { ExitCode } from "../ExitCode.js";

export const historyCommand = createCommand({
    name: "history",
    description: "List the last versions, the newest first.",
    args: {
        limit: { default: "20", description: "Most versions to list.", type: "string" },
        ...STORE_FLAGS,
        ...JSON_FLAG,
    },
    examples: ["papayaturn history --limit 5"],
    async run(args, context) {
        const limit = parseCount("--limit", args.limit) ?? 0;
        const versions = await withStore(
            args,
            context,
            async ({ access, meshKey }) => requireLoaded(await readHistory(access, limit, meshKey)),
        );
        const lines = versions.length > 0 ? versions.map(formatVersion) : ["The store has no version yet."];
        writeResult(context, args.json, { versions }, lines);
        return ExitCode.Success;
    },
});
