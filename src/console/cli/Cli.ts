/** Command line for operators: selects a command, checks its arguments and runs it. */
import { findSuggestion } from "../../state/document/index.js";
import type { CliCommand } from "./CliCommand.js";
import { parseCommandArgs, renderHelp } from "./CliCommand.js";
import type { CliContext } from "./CliContext.js";
import { applyCommand } from "./commands/ApplyCommand.js";
import { diffCommand } from "./commands/DiffCommand.js";
import { explainCommand } from "./commands/ExplainCommand.js";
import { exportCommand } from "./commands/ExportCommand.js";
import { historyCommand } from "./commands/HistoryCommand.js";
import { rollbackCommand } from "./commands/RollbackCommand.js";
import { schemaCommand } from "./commands/SchemaCommand.js";
import { statusCommand } from "./commands/StatusCommand.js";
import { validateCommand } from "./commands/ValidateCommand.js";
import { CommandFailure, ExitCode } from "./ExitCode.js";

/** Commands in the order in which operators usually need them. */
export const COMMANDS: readonly CliCommand[] = [
    validateCommand,
    diffCommand,
    applyCommand,
    statusCommand,
    historyCommand,
    rollbackCommand,
    exportCommand,
    explainCommand,
    schemaCommand,
];

const HELP_FLAGS: ReadonlySet<string> = new Set(["--help", "-h", "help"]);

function renderOverview(): string {
    const width = Math.max(...COMMANDS.map(command => command.name.length));
    const lines = COMMANDS.map(({ description, name }) => `  ${name.padEnd(width)}  ${description}`);
    return `Describe, distribute and watch the configuration of a mesh.

USAGE  papayaturn COMMAND [OPTIONS]

COMMANDS

${lines.join("\n")}

"papayaturn COMMAND --help" shows the options and examples of a command.

EXAMPLES

  papayaturn validate mesh.yaml
  papayaturn apply --message "More slots for deposits" mesh.yaml
  papayaturn status --wait
`;
}

function requireCommand(name: string): CliCommand {
    const command = COMMANDS.find(candidate => candidate.name === name);
    if (command === undefined) {
        const suggestion = findSuggestion(name, COMMANDS.map(candidate => candidate.name));
        const hint = suggestion === undefined ? "" : ` Did you mean "${suggestion}"?`;
        throw new CommandFailure(ExitCode.Usage, `Unknown command "${name}".${hint}`);
    }
    return command;
}

async function runCommand(name: string, rawArgs: readonly string[], context: CliContext): Promise<ExitCode> {
    const command = requireCommand(name);
    if (rawArgs.some(argument => argument === "--help" || argument === "-h")) {
        context.write(await renderHelp(command, context));
        return ExitCode.Success;
    }
    return command.run(parseCommandArgs(command, rawArgs), context);
}

/** Reports a failure: with `--json` as JSON on standard output, else as a line on standard error. */
function reportFailure(error: unknown, rawArgs: readonly string[], context: CliContext): ExitCode {
    if (!(error instanceof CommandFailure)) {
        throw error;
    }
    if (rawArgs.includes("--json")) {
        context.write(`${JSON.stringify({ error: error.message, exitCode: error.exitCode }, undefined, 4)}\n`);
    }
    else {
        context.writeError(`papayaturn: ${error.message}\n`);
    }
    return error.exitCode;
}

/** Runs the command line and returns the exit code. */
export async function runCli(rawArgs: readonly string[], context: CliContext): Promise<ExitCode> {
    const [name, ...rest] = rawArgs;
    if (name === undefined || HELP_FLAGS.has(name)) {
        context.write(renderOverview());
        return name === undefined ? ExitCode.Usage : ExitCode.Success;
    }
    try {
        return await runCommand(name, rest, context);
    }
    catch (error) {
        return reportFailure(error, rawArgs, context);
    }
}
