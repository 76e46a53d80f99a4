import { DocumentSchema } from "../../../state/document/index.js";
import { createCommand } from "../CliCommand.js";
import { JSON_FLAG } from "../CliConnections.js";
import { writeResult } from "../CliContext.js";
import { ExitCode } from "../ExitCode.js";

export const schemaCommand = createCommand({
    name: "schema",
    description: "Print the JSON Schema of documents, for editors.",
    args: JSON_FLAG,
    examples: ["papayaturn schema > papayaturn.schema.json"],
    run(_args, context) {
        writeResult(context, true, DocumentSchema, []);
        return Promise.resolve(ExitCode.Success);
    },
});
