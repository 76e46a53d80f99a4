import { createRetryingRead, readHead } from "../../../coordination/acceptance/index.js";
import { parseQuantity, QuantityKind } from "../../../state/document/index.js";
import { createCommand, parseCount } from "../CliCommand.js";
import { createDaemonFailure, DAEMON_FLAGS, JSON_FLAG, openDaemon, STORE_FLAGS, withStore } from "../CliConnections.js";
import type { CliContext } from "../CliContext.js";
import { formatColour, writeResult } from "../CliContext.js";
import { requireLoaded } from "../CliVersions.js";
import type { Convergence, ReportedSummary } from "../Convergence.js";
import {
    computeConvergence,
    formatDetails,
    formatProgress,
    isMeshSummary,
    readStoredSummaries,
} from "../Convergence.js";
import { CommandFailure, ExitCode } from "../ExitCode.js";

/** Interval of the status reads while waiting; relays write their summaries at most every 2 s. */
const POLL_INTERVAL_MS = 500;

/** Current version and mesh summaries at one time. */
interface StatusSnapshot {
    readonly currentVersion: number;
    readonly reports: readonly ReportedSummary[];
}

type ReadStatus = () => Promise<StatusSnapshot>;

interface StatusOptions {
    readonly version: number | undefined;
    readonly deadline: number;
    readonly isWaiting: boolean;
    readonly isJson: boolean | undefined;
}

function parseTimeout(text: string): number {
    const timeoutMs = parseQuantity(QuantityKind.Duration, text);
    if (timeoutMs === undefined) {
        throw new CommandFailure(ExitCode.Usage, `--timeout needs a duration such as 60s, not "${text}".`);
    }
    return timeoutMs;
}

/** Reads the status of the mesh from a daemon, which asks the relays above it. */
function createDaemonStatusReader(daemon: NonNullable<Awaited<ReturnType<typeof openDaemon>>>): ReadStatus {
    return async () => {
        const answer = await daemon.readStatus();
        const status = answer.caseOf<Readonly<Record<string, unknown>>>({
            Left: error => {
                throw createDaemonFailure(error);
            },
            Right: value => ({ ...value }),
        });
        const summary = status["mesh"];
        return {
            currentVersion: Number(status["receivedVersion"] ?? 0),
            reports: isMeshSummary(summary) ? [{ reporter: String(status["id"]), summary }] : [],
        };
    };
}

function writeProgress(context: CliContext, line: string, isLast: boolean): void {
    context.write(context.isTerminal ? `\r\u001b[K${line}${isLast ? "\n" : ""}` : `${line}\n`);
}

/** Reads the status until the version is in force everywhere or the deadline passes; writes a line for each change. */
async function watchStatus(
    context: CliContext,
    read: ReadStatus,
    options: StatusOptions,
): Promise<{ readonly convergence: Convergence | undefined; readonly currentVersion: number; }> {
    let lastLine = "";
    for (;;) {
        const { currentVersion, reports } = await read();
        const version = options.version ?? currentVersion;
        const convergence = computeConvergence(reports, version);
        const isLast = !options.isWaiting || convergence?.isConverged === true || context.now() >= options.deadline;
        const line = convergence === undefined ? "No relay has reported a status yet." : formatProgress(convergence);
        if (options.isJson !== true && (line !== lastLine || isLast && context.isTerminal)) {
            writeProgress(
                context,
                convergence?.isConverged === true ? formatColour(context, "green", line) : line,
                isLast,
            );
            lastLine = line;
        }
        if (isLast) {
            return { convergence, currentVersion };
        }
        await context.sleep(POLL_INTERVAL_MS);
    }
}

async function reportStatus(context: CliContext, read: ReadStatus, options: StatusOptions): Promise<ExitCode> {
    const { convergence, currentVersion } = await watchStatus(context, read, options);
    const lines = convergence === undefined ? [] : formatDetails(convergence);
    writeResult(context, options.isJson, { currentVersion, ...convergence }, lines);
    return options.isWaiting && convergence?.isConverged !== true ? ExitCode.NotConverged : ExitCode.Success;
}

export const statusCommand = createCommand({
    name: "status",
    description: "Show on how many daemons the current version is in force, and what holds it back.",
    args: {
        wait: { description: "Wait until the version is in force everywhere.", type: "boolean" },
        timeout: { default: "60s", description: "Longest wait, as a duration.", type: "string" },
        version: { description: "Version to look for instead of the current one.", type: "string" },
        ...DAEMON_FLAGS,
        ...STORE_FLAGS,
        ...JSON_FLAG,
    },
    examples: ["papayaturn status --wait --timeout 30s", "papayaturn status --daemon http://127.0.0.1:7403"],
    async run(args, context) {
        const options = {
            deadline: context.now() + parseTimeout(args.timeout),
            isJson: args.json,
            isWaiting: args.wait === true,
            version: parseCount("--version", args.version),
        };
        // PAPAYATURN_DAEMON_URL is only for `explain`: unlike a daemon, the store knows the whole mesh.
        const daemon = args.daemon === undefined ? undefined : await openDaemon(args, context);
        if (daemon !== undefined) {
            return reportStatus(context, createDaemonStatusReader(daemon), options);
        }
        return withStore(args, context, ({ access }) => {
            const readRepeatedly = createRetryingRead(access);
            const read: ReadStatus = async () => ({
                currentVersion: requireLoaded(await readHead(readRepeatedly))?.head.version ?? 0,
                reports: await readStoredSummaries(access),
            });
            return reportStatus(context, read, options);
        });
    },
});
