import { readFile } from "node:fs/promises";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { runCli } from "../../index.js";

/** Time of the first command of a session; each further command runs at least a minute later. */
const START_MS = Date.UTC(2026, 0, 15, 8);
const MINUTE_MS = 60_000;

/** Runs commands as an operator does and records everything that they print. */
export interface CliSession {
    /** Runs a command; `files` are documents that it can read in addition to those of the checkout. */
    run(args: readonly string[], files?: Readonly<Record<string, string>>): Promise<string>;
    /** Called whenever a command would sleep. */
    onSleep: () => Promise<void>;
    readTranscript(): string;
}

/** Replaces hashes and addresses, on which golden files should not depend. */
function replaceVariableText(text: string): string {
    return text.replaceAll(/[0-9a-f]{64}/g, "HASH").replaceAll(/127\.0\.0\.1:\d+/g, "ADDRESS");
}

/** Creates a session with the given environment variables. */
export function createCliSession(environment: Readonly<Record<string, string>>, isTerminal = false): CliSession {
    let transcript = "";
    let now = START_MS;
    const session: CliSession = {
        onSleep: () => Promise.resolve(),
        readTranscript: () => transcript,
        run: async (args, files = {}) => {
            let output = "";
            const exitCode = await runCli(args, {
                environment,
                isTerminal,
                now: () => now,
                random: createSeededRandom(1),
                readText: path => path in files ? Promise.resolve(files[path] ?? "") : readFile(path, "utf8"),
                sleep: ms => {
                    now += ms;
                    return session.onSleep();
                },
                write: text => {
                    output += text;
                },
                writeError: text => {
                    output += text;
                },
            });
            now += MINUTE_MS;
            const shown = args.map(argument => argument.includes(" ") ? `"${argument}"` : argument).join(" ");
            transcript += replaceVariableText(`$ papayaturn ${shown}\n${output}[exit code ${exitCode}]\n\n`);
            return output;
        },
    };
    return session;
}
