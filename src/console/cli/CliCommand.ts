/** Definition of commands, and checks of their arguments that citty doesn't make. */
import type { ArgsDef, ParsedArgs } from "citty";
import { defineCommand, parseArgs, renderUsage } from "citty";
import { stripVTControlCharacters } from "node:util";
import { findSuggestion } from "../../state/document/index.js";
import type { CliContext } from "./CliContext.js";
import { CommandFailure, ExitCode } from "./ExitCode.js";

export interface CliCommand<Args extends ArgsDef = ArgsDef> {
    readonly name: string;
    readonly description: string;
    readonly args: Args;
    readonly examples: readonly string[];
    run(args: ParsedArgs<Args>, context: CliContext): Promise<ExitCode>;
}

/** Creates a command whose `run` receives arguments of the declared types. */
export function createCommand<const Args extends ArgsDef>(command: CliCommand<Args>): CliCommand {
    return command as unknown as CliCommand;
}

/** Renders the help of a command with its examples. */
export async function renderHelp(
    command: CliCommand,
    context: Pick<CliContext, "environment" | "isTerminal">,
): Promise<string> {
    const usage = await renderUsage(
        defineCommand({ args: command.args, meta: { description: command.description, name: command.name } }),
        defineCommand({ meta: { name: "papayaturn" } }),
    );
    const text = context.isTerminal ? usage : stripVTControlCharacters(usage);
    // citty pads the lines of the options table to equal length.
    const lines = text.split("\n").map(line => line.trimEnd()).join("\n");
    return `${lines}\nEXAMPLES\n\n${command.examples.map(example => `  ${example}`).join("\n")}\n`;
}

function collectFlagTypes(command: CliCommand): ReadonlyMap<string, string | undefined> {
    const options = Object.entries(command.args).filter(([, arg]) => arg.type !== "positional");
    return new Map(options.flatMap(([name, arg]) => {
        const alias = "alias" in arg ? [arg.alias ?? []].flat() : [];
        return [[`--${name}`, arg.type], ...alias.map(letter => [`-${letter}`, arg.type])] as [string, string][];
    }));
}

function checkFlag(command: CliCommand, rawArgs: readonly string[], index: number): void {
    const flags = collectFlagTypes(command);
    const [flag = "", value] = (rawArgs[index] ?? "").split(/=(.*)/s);
    const type = flags.get(flag);
    if (!flags.has(flag)) {
        const suggestion = findSuggestion(flag, [...flags.keys()]);
        const hint = suggestion === undefined ? "" : ` Did you mean ${suggestion}?`;
        throw new CommandFailure(ExitCode.Usage, `Unknown option ${flag}.${hint}`);
    }
    if (type === "boolean" ? value !== undefined : value === undefined && isMissingValue(rawArgs[index + 1])) {
        throw new CommandFailure(
            ExitCode.Usage,
            type === "boolean" ? `The option ${flag} takes no value.` : `The option ${flag} needs a value.`,
        );
    }
}

function isMissingValue(value: string | undefined): boolean {
    return value === undefined || value.startsWith("--");
}

/** Parses arguments and rejects unknown options, missing values and surplus arguments. */
export function parseCommandArgs(command: CliCommand, rawArgs: readonly string[]): ParsedArgs {
    const end = rawArgs.indexOf("--");
    const checked = end < 0 ? rawArgs : rawArgs.slice(0, end);
    const flags = collectFlagTypes(command);
    for (const [index, argument] of checked.entries()) {
        const isValue = flags.get(checked[index - 1] ?? "") === "string";
        if (!isValue && argument.startsWith("-") && argument !== "-") {
            checkFlag(command, checked, index);
        }
    }
    const positionals = Object.values(command.args).filter(arg => arg.type === "positional").length;
    try {
        const parsed = parseArgs([...rawArgs], command.args);
        if (parsed._.length > positionals) {
            throw new CommandFailure(ExitCode.Usage, `Unexpected argument "${parsed._[positionals]}".`);
        }
        return parsed;
    }
    catch (error) {
        throw error instanceof CommandFailure
            ? error
            : new CommandFailure(ExitCode.Usage, `${(error as Error).message}.`);
    }
}

/** Parses a whole number of at most 15 digits; undefined when the option was not given. */
export function parseCount(flag: string, text: string | undefined): number | undefined {
    if (text === undefined) {
        return undefined;
    }
    const count = Number(text);
    if (!/^\d{1,15}$/.test(text)) {
        throw new CommandFailure(ExitCode.Usage, `${flag} needs a whole number, not "${text}".`);
    }
    return count;
}
