/** Process facilities that commands use; tests replace them to run whole sessions. */
import type { Random } from "../../state/shared/index.js";

export interface CliContext {
    readonly environment: Readonly<Record<string, string | undefined>>;
    /** Reads a file, or standard input for `-`. */
    readonly readText: (path: string) => Promise<string>;
    /** Writes to standard output without adding a line break. */
    readonly write: (text: string) => void;
    readonly writeError: (text: string) => void;
    /** Whether standard output is a terminal, which enables colours and an updating progress line. */
    readonly isTerminal: boolean;
    readonly now: () => number;
    readonly sleep: (ms: number) => Promise<void>;
    readonly random: Random;
}

/** Writes the result of a command as one JSON value or as lines of text. */
export function writeResult(
    context: CliContext,
    isJson: boolean | undefined,
    value: unknown,
    lines: readonly string[],
): void {
    const text = isJson === true ? JSON.stringify(value, undefined, 4) : lines.join("\n");
    if (text !== "") {
        context.write(`${text}\n`);
    }
}

const COLOUR_CODES = { green: 32, red: 31, yellow: 33 } as const;

/** Colours a text when standard output is a terminal and `NO_COLOR` is not set. */
export function formatColour(context: CliContext, colour: keyof typeof COLOUR_CODES, text: string): string {
    return context.isTerminal && !context.environment["NO_COLOR"]
        ? `\u001b[${COLOUR_CODES[colour]}m${text}\u001b[39m`
        : text;
}
