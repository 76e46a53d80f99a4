/** Runs a daemon as a process: reads settings, creates the log, handles signals and sets the exit code. */
import { renderUsage } from "citty";
import { startDaemon } from "../transport/daemon/index.js";
import { createLogger } from "../transport/logging/index.js";
import type { DelayLink } from "../transport/mesh/index.js";
import type { DaemonSettings, SettingFinding } from "../transport/settings/index.js";
import { DAEMON_FLAGS, parseDaemonSettings } from "../transport/settings/index.js";
import { createStoreClient } from "../transport/store/index.js";
import { handleStopSignals, handleUncaughtErrors } from "./ProcessExit.js";

const USAGE_EXIT_CODE = 2;
const START_EXIT_CODE = 1;
/** Limit for one call of the store, which normally answers within milliseconds. */
const STORE_REQUEST_TIMEOUT_MS = 2000;

async function printUsage(): Promise<void> {
    const meta = {
        description: "Proxy and configuration daemon beside one backend server.",
        name: "papayaturn-daemon",
    };
    process.stdout.write(`${await renderUsage({ args: DAEMON_FLAGS, meta })}\n`);
}

function printFindings(findings: readonly SettingFinding[]): void {
    for (const { message, setting } of findings) {
        process.stderr.write(`settings: ${setting} ${message}.\n`);
    }
}

async function startProcess(settings: DaemonSettings, delayLink: DelayLink | undefined): Promise<void> {
    const createPartLogger = createLogger({
        fields: { daemon: settings.id },
        level: settings.logLevel,
        name: "papayaturn-daemon",
    });
    const log = createPartLogger("daemon");
    handleUncaughtErrors((part, sentence, fields) => {
        createPartLogger(part).error(sentence, fields);
    });
    const storeOptions = { timeoutMs: STORE_REQUEST_TIMEOUT_MS, url: settings.storeUrl };
    const starting = startDaemon(settings, {
        claimStore: createStoreClient(storeOptions),
        createPartLogger,
        store: createStoreClient(storeOptions),
        ...(delayLink === undefined ? {} : { delayLink }),
    });
    // A signal during the start stops the daemon as soon as it has started.
    handleStopSignals(() => starting.then(daemon => daemon.stop()), log.info);
    try {
        const daemon = await starting;
        const { controlPort, peerPort, relayPort, requestPort } = daemon;
        log.info("started.", { controlPort, peerPort, relayPort, requestPort });
    }
    catch (error) {
        log.error(`could not start: ${(error as Error).message}.`, { err: error });
        process.exitCode = START_EXIT_CODE;
        setImmediate(() => process.exit());
    }
}

/** Runs a daemon with the settings of the arguments and the environment. */
export async function runDaemonProcess(argv: readonly string[], delayLink?: DelayLink): Promise<void> {
    if (argv.includes("--help") || argv.includes("-h")) {
        await printUsage();
        return;
    }
    await parseDaemonSettings(argv, process.env).caseOf<Promise<void> | void>({
        Left: findings => {
            printFindings(findings);
            process.exitCode = USAGE_EXIT_CODE;
        },
        Right: settings => startProcess(settings, delayLink),
    });
}
