import { formatDocument } from "../../../state/document/index.js";
import { createCommand, parseCount } from "../CliCommand.js";
import { JSON_FLAG, STORE_FLAGS, withStore } from "../CliConnections.js";
import { writeResult } from "../CliContext.js";
import { requireDocument } from "../CliVersions.js";
import { ExitCode } from "../ExitCode.js";

export const exportCommand = createCommand({
    name: "export",
    description: "Print the document of a version, to edit and apply again.",
    args: {
        version: { description: "Version to print instead of the current one.", type: "string" },
        ...STORE_FLAGS,
        ...JSON_FLAG,
    },
    examples: ["papayaturn export > mesh.yaml", "papayaturn export --version 12 --json"],
    async run(args, context) {
        const version = parseCount("--version", args.version);
        const { source } = await withStore(args, context, connection => requireDocument(connection, version));
        writeResult(context, args.json, source, [formatDocument(source).trimEnd()]);
        return ExitCode.Success;
    },
});
