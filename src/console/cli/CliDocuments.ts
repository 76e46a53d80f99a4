import type { SourceDocument } from "../../state/document/index.js";
import { formatFinding, parseDocument } from "../../state/document/index.js";
import { readFile } from "./CliConnections.js";
import type { CliContext } from "./CliContext.js";
import { writeResult } from "./CliContext.js";

/** Reads a document from a file; when it is invalid, reports its findings and returns undefined. */
export async function readDocumentFile(
    context: CliContext,
    file: string,
    isJson: boolean | undefined,
): Promise<SourceDocument | undefined> {
    const parsed = parseDocument(await readFile(context, file), { file });
    return parsed.ifLeft(findings => {
        if (isJson === true) {
            writeResult(context, true, { findings, kind: "refused" }, []);
            return;
        }
        context.writeError(`${findings.map(formatFinding).join("\n")}\n`);
    }).toMaybe().extract();
}
