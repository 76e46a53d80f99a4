import { createCommand } from "../CliCommand.js";
import { JSON_FLAG } from "../CliConnections.js";
import { formatColour, writeResult } from "../CliContext.js";
import { readDocumentFile } from "../CliDocuments.js";
import { ExitCode } from "../ExitCode.js";

export const validateCommand = createCommand({
    name: "validate",
    description: "Check a document without a store.",
    args: {
        file: { description: "Document, YAML or JSON; - for standard input.", required: true, type: "positional" },
        ...JSON_FLAG,
    },
    examples: ["papayaturn validate examples/lakeshore.yaml"],
    async run(args, context) {
        const source = await readDocumentFile(context, args.file, args.json);
        if (source === undefined) {
            return ExitCode.Refused;
        }
        const counts = {
            classes: Object.keys(source.classes).length,
            resources: Object.keys(source.resources ?? {}).length,
            routes: Object.keys(source.routes).length,
            services: Object.keys(source.services).length,
        };
        const text = `${args.file}: valid: ${counts.services} services, ${counts.routes} routes, `
            + `${counts.classes} classes, ${counts.resources} resources.`;
        writeResult(context, args.json, { ...counts, kind: "valid" }, [formatColour(context, "green", text)]);
        return ExitCode.Success;
    },
});
