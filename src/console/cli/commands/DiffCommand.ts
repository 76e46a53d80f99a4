import type { ResourceChange, SettingChange } from "../../../state/document/index.js";
import { diffDocuments } from "../../../state/document/index.js";
import { createCommand, parseCount } from "../CliCommand.js";
import { JSON_FLAG, STORE_FLAGS, withStore } from "../CliConnections.js";
import type { CliContext } from "../CliContext.js";
import { formatColour, writeResult } from "../CliContext.js";
import { readDocumentFile } from "../CliDocuments.js";
import { readDocument, requireDocument } from "../CliVersions.js";
import { ExitCode } from "../ExitCode.js";

const CHANGE_MARKS = {
    added: { colour: "green", mark: "+" },
    changed: { colour: "yellow", mark: "~" },
    removed: { colour: "red", mark: "-" },
} as const;

function formatValue(value: unknown): string {
    return value === undefined ? "(none)" : JSON.stringify(value);
}

function formatSetting({ after, before, path }: SettingChange): string {
    return `    ${path}: ${formatValue(before)} -> ${formatValue(after)}`;
}

function formatChange(context: CliContext, { kind, name, settings }: ResourceChange): readonly string[] {
    const { colour, mark } = CHANGE_MARKS[kind];
    return [formatColour(context, colour, `${mark} ${name}`), ...settings.map(formatSetting)];
}

export const diffCommand = createCommand({
    name: "diff",
    description: "Show what applying a document would change.",
    args: {
        file: { description: "Document, YAML or JSON; - for standard input.", required: true, type: "positional" },
        "version": { description: "Compare with this version instead of the current one.", type: "string" },
        ...STORE_FLAGS,
        ...JSON_FLAG,
    },
    examples: ["papayaturn diff examples/lakeshore.yaml", "papayaturn diff --version 12 mesh.yaml"],
    async run(args, context) {
        const version = parseCount("--version", args.version);
        const source = await readDocumentFile(context, args.file, args.json);
        if (source === undefined) {
            return ExitCode.Refused;
        }
        const base = await withStore(
            args,
            context,
            connection =>
                version === undefined ? readDocument(connection, version) : requireDocument(connection, version),
        );
        const changes = diffDocuments(base?.source, source);
        const title = base === undefined ? "The store has no version yet:" : `Compared with version ${base.version}:`;
        const lines = changes.flatMap(change => formatChange(context, change));
        writeResult(context, args.json, { changes, version: base?.version ?? 0 }, [
            title,
            ...(lines.length > 0 ? lines : ["no difference"]),
        ]);
        return ExitCode.Success;
    },
});
