import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { text } from "node:stream/consumers";
import { afterEach, expect, test } from "vitest";

const SCRIPT = "dist/src/binaries/papayaturn-daemon.js";
/** Nothing listens at this port; a daemon also runs without the store. */
const UNREACHABLE_STORE_URL = "http://127.0.0.1:9";
/** Logged once, when the first call of the store fails. */
const STORE_UNREACHABLE_MESSAGE = "mesh: store does not answer.";
const SECRETS = { PAPAYATURN_MESH_KEY: "a mesh key of the test", PAPAYATURN_TOKEN: "a token of the test" };

const children: ChildProcess[] = [];

afterEach(() => {
    for (const child of children.splice(0)) {
        child.kill("SIGKILL");
    }
});

function startProcess(flags: Readonly<Record<string, string>>, environment: Readonly<Record<string, string>>) {
    const args = Object.entries(flags).map(([flag, value]) => `--${flag}=${value}`);
    const child = spawn(process.execPath, [SCRIPT, ...args], { env: environment, stdio: ["ignore", "pipe", "pipe"] });
    children.push(child);
    const output = text(child.stdout);
    const errors = text(child.stderr);
    const exited = new Promise<number | null>(resolve => child.once("exit", resolve));
    return { child, end: async () => ({ code: await exited, errors: await errors, output: await output }) };
}

function buildFlags(changes: Readonly<Record<string, string>> = {}): Record<string, string> {
    return {
        "address": "127.0.0.1",
        "control-port": "0",
        "failure-domain": "erie-a",
        "id": "erie-a-1",
        "peer-port": "0",
        "region": "erie",
        "relay-port": "0",
        "request-port": "0",
        "store": UNREACHABLE_STORE_URL,
        ...changes,
    };
}

function listMessages(output: string): readonly string[] {
    return output.trim().split("\n").map(line => (JSON.parse(line) as { msg: string; }).msg);
}

/** Resolves when the process has logged all messages. */
function awaitMessages(child: ChildProcess, messages: readonly string[]): Promise<void> {
    let written = "";
    return new Promise(resolve => {
        child.stdout?.on("data", (chunk: Buffer) => {
            written += chunk.toString();
            if (messages.every(message => written.includes(message))) {
                resolve();
            }
        });
    });
}

// Guards against a daemon that starts with invalid settings or reports only the first finding.
test("invalid settings end the process with exit code 2 and a line for each finding", async () => {
    const { code, errors } = await startProcess({ id: "Erie 1", sed: "x" }, {}).end();
    expect(code).toBe(2);
    expect(errors.trim().split("\n").map(line => line.split(" ")[1])).toEqual([
        "sed",
        "--address",
        "--failure-domain",
        "--id",
        "--mesh-key-file",
        "--region",
        "--store",
        "--token-file",
    ]);
});

// Guards against a planned stop that exits with an error code, and against secrets in the log.
test("a daemon starts without the store and exits with code 0 on SIGTERM", async () => {
    const { child, end } = startProcess(buildFlags(), SECRETS);
    await awaitMessages(child, ["daemon: started.", STORE_UNREACHABLE_MESSAGE]);
    child.kill("SIGTERM");
    const { code, output } = await end();
    expect(code).toBe(0);
    const messages = listMessages(output);
    // The first call of the store may fail before or after the control interface listens.
    expect(messages.filter(message => message === STORE_UNREACHABLE_MESSAGE)).toHaveLength(1);
    expect(messages.filter(message => message !== STORE_UNREACHABLE_MESSAGE)).toEqual([
        "proxy: accepts requests.",
        "daemon: started.",
        "daemon: planned stop begins.",
        "proxy: stopped.",
        "daemon: planned stop has ended.",
    ]);
    expect(output).not.toContain(SECRETS.PAPAYATURN_MESH_KEY);
    expect(output).not.toContain(SECRETS.PAPAYATURN_TOKEN);
});

// Guards against a daemon that runs without one of its ports.
test("a port that is in use ends the process with exit code 1", async () => {
    const taken = createServer();
    await new Promise<void>(resolve => taken.listen(0, "127.0.0.1", resolve));
    const port = String((taken.address() as AddressInfo).port);
    const { code, output } = await startProcess(buildFlags({ "control-port": port }), SECRETS).end();
    await new Promise(resolve => taken.close(resolve));
    expect(code).toBe(1);
    expect(listMessages(output).at(-1)).toContain("daemon: could not start: listen EADDRINUSE");
});
