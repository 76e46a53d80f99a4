/** Generates docs/cli.md from the commands, so that the page is always up to date. */
import { COMMANDS } from "./Cli.js";
import { renderHelp } from "./CliCommand.js";
import { ExitCode } from "./ExitCode.js";

const EXIT_CODE_MEANINGS: Readonly<Record<ExitCode, string>> = {
    [ExitCode.Success]: "done; for `apply` and `rollback` also when the current version holds the same document",
    [ExitCode.Failed]: "nothing was changed, for the reason that the message gives",
    [ExitCode.Usage]: "the command line is wrong, or a file can't be read",
    [ExitCode.Refused]: "the document has findings; nothing was changed",
    [ExitCode.Conflict]: "another version came first; nothing was changed",
    [ExitCode.Unknown]: "the store was lost before its answer; applying the same document again finds out",
    [ExitCode.Unreachable]: "the store or the daemon could not be read",
    [ExitCode.NotConverged]: "`status --wait` ended before the version was in force everywhere",
    [ExitCode.NotFound]: "the version, route, service or request does not exist",
};

const INTRODUCTION = `# Command line

This page is generated from the commands by \`npm run docs:cli\`. A test fails when it falls behind.

\`papayaturn\` describes, distributes and watches the configuration of a mesh. \`docs/configuration.md\` describes
documents.

## Settings

| Variable | Flag | Meaning |
|---|---|---|
| \`PAPAYATURN_STORE_URL\` | \`--store\` | address of the store |
| \`PAPAYATURN_MESH_KEY\` | \`--mesh-key-file\` (a file) | key with which versions are signed |
| \`PAPAYATURN_DAEMON_URL\` | \`--daemon\` | address of a daemon's control interface |
| \`PAPAYATURN_TOKEN\` | \`--token-file\` (a file) | operators' token for a daemon |
| \`PAPAYATURN_AUTHOR\`, else \`USER\` | \`--author\` | who changes the document |
| \`NO_COLOR\` | | no colours; there are none without a terminal either |

The mesh key and the token are never arguments, because other users of a VM can see the arguments of a process.

With \`--json\` a command prints one JSON value to standard output, also when it fails.

## Exit codes

They don't change between releases.

| Code | Meaning |
|---|---|
`;

/** Renders docs/cli.md. */
export async function renderCliPage(): Promise<string> {
    const codes = Object.entries(EXIT_CODE_MEANINGS).map(([code, meaning]) => `| ${code} | ${meaning} |`);
    const sections = await Promise.all(COMMANDS.map(async command => {
        const help = await renderHelp(command, { environment: {}, isTerminal: false });
        return `## \`${command.name}\`\n\n\`\`\`text\n${help.trim()}\n\`\`\``;
    }));
    return `${INTRODUCTION}${codes.join("\n")}\n\n${sections.join("\n\n")}\n`;
}
