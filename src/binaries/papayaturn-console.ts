#!/usr/bin/env node
/** The operators' console, described in docs/console.md. */
import { renderUsage } from "citty";
import { randomBytes, randomInt } from "node:crypto";
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import type { ConsoleSettings } from "../console/web/index.js";
import { CONSOLE_FLAGS, createConsole, createStoreConfiguration, parseConsoleSettings } from "../console/web/index.js";
import { createSeededRandom } from "../state/shared/index.js";
import { createLogger } from "../transport/logging/index.js";
import { createStoreClient } from "../transport/store/index.js";
import { handleStopSignals, handleUncaughtErrors } from "./ProcessExit.js";

const USAGE_EXIT_CODE = 2;
const START_EXIT_CODE = 1;

/** Limit for one call of the store, so that an operator soon learns that the store doesn't answer. */
const STORE_REQUEST_TIMEOUT_MS = 2_000;

/** 192 random bits, 32 characters in base64url. */
const TOKEN_BYTES = 24;

/** Seeds are integers below 2^32. */
const SEED_LIMIT = 2 ** 32;

async function startProcess(settings: ConsoleSettings): Promise<void> {
    const createPartLogger = createLogger({ level: settings.logLevel, name: "papayaturn-console" });
    const log = createPartLogger("console");
    handleUncaughtErrors((part, sentence, fields) => {
        createPartLogger(part).error(sentence, fields);
    });
    const token = settings.token ?? randomBytes(TOKEN_BYTES).toString("base64url");
    const store = createStoreClient({ timeoutMs: STORE_REQUEST_TIMEOUT_MS, url: settings.storeUrl });
    const now = () => Date.now();
    const app = await createConsole({
        hosts: settings.hostNames,
        logError: log.error,
        logInfo: log.info,
        now,
        port: createStoreConfiguration({
            meshKey: settings.meshKey,
            now,
            random: createSeededRandom(randomInt(SEED_LIMIT)),
            sleep,
            store,
        }),
        token,
    });
    await app.listen(settings.port, settings.host);
    const url = await app.getUrl();
    log.info(`listening on ${url}.`, { url });
    if (settings.token === undefined) {
        // The token is written to the operator's terminal only, never to the log.
        process.stderr.write(`console: sign in at ${url} with the token ${token}\n`);
    }
    handleStopSignals(async () => {
        await app.close();
        await store.close();
    }, log.info);
}

async function runConsole(argv: readonly string[]): Promise<void> {
    if (argv.includes("--help") || argv.includes("-h")) {
        const meta = {
            description: "The operators' console: forms, history and convergence.",
            name: "papayaturn-console",
        };
        process.stdout.write(`${await renderUsage({ args: CONSOLE_FLAGS, meta })}\n`);
        return;
    }
    const settings = parseConsoleSettings(argv, process.env, path => readFileSync(path, "utf8"));
    if (settings.isLeft()) {
        for (const { message, setting } of settings.swap().orDefault([])) {
            process.stderr.write(`settings: ${setting} ${message}.\n`);
        }
        process.exitCode = USAGE_EXIT_CODE;
        return;
    }
    try {
        await startProcess(settings.unsafeCoerce());
    }
    catch (error) {
        process.stderr.write(`console: could not start: ${(error as Error).message}.\n`);
        process.exitCode = START_EXIT_CODE;
    }
}

await runConsole(process.argv.slice(2));
