#!/usr/bin/env node
/** The operators' command-line interface, described in docs/cli.md. */
import { randomInt } from "node:crypto";
import { readFile } from "node:fs/promises";
import { text } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import { runCli } from "../console/cli/index.js";
import { createSeededRandom } from "../state/shared/index.js";

/** Seeds are integers below 2^32. */
const SEED_LIMIT = 2 ** 32;

process.exitCode = await runCli(process.argv.slice(2), {
    environment: process.env,
    isTerminal: Boolean(process.stdout.isTTY),
    now: () => Date.now(),
    random: createSeededRandom(randomInt(SEED_LIMIT)),
    readText: path => path === "-" ? text(process.stdin) : readFile(path, "utf8"),
    sleep,
    write: output => void process.stdout.write(output),
    writeError: output => void process.stderr.write(output),
});
