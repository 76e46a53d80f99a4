/** Starts and stops the demo's processes. Signals only processes that it started itself. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** Small young generation, as docs/operating.md recommends for the daemon. */
const NODE_FLAGS = ["--enable-source-maps", "--max-semi-space-size=1"];
const STOP_TIMEOUT_MS = 10_000;
const LAST_LINES_LIMIT = 20;

/** Receives each line that a process writes to its standard output. */
export type LineListener = (line: string) => void;

export interface StartOptions {
    readonly name: string;
    readonly script: string;
    readonly args: readonly string[];
    readonly environment?: Readonly<Record<string, string>>;
    readonly onLine?: LineListener;
}

/** How a process exited: its exit code, or the signal that terminated it. */
export interface ProcessExit {
    readonly code: number | null;
    readonly signal: NodeJS.Signals | null;
}

/** A child process, its recent output and its exit. */
export class RunningProcess {
    readonly exited: Promise<ProcessExit>;
    readonly #lastLines: string[] = [];

    constructor(readonly name: string, private readonly child: ChildProcess, onLine: LineListener | undefined) {
        this.exited = new Promise(resolve => {
            child.once("exit", (code, signal) => {
                resolve({ code, signal });
            });
        });
        this.#readLines(child.stdout, onLine);
        this.#readLines(child.stderr, undefined);
    }

    /** Undefined when the process could not be started. */
    get pid(): number | undefined {
        return this.child.pid;
    }

    get isRunning(): boolean {
        return this.child.exitCode === null && this.child.signalCode === null;
    }

    /** The last lines of standard output and standard error, to report an unexpected exit. */
    get lastLines(): readonly string[] {
        return this.#lastLines;
    }

    signal(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /** Sends SIGTERM, and SIGKILL after `STOP_TIMEOUT_MS`; resolves when the process has exited. */
    async stop(): Promise<ProcessExit> {
        this.signal("SIGTERM");
        const timer = setTimeout(() => {
            this.signal("SIGKILL");
        }, STOP_TIMEOUT_MS);
        const exit = await this.exited;
        clearTimeout(timer);
        return exit;
    }

    #readLines(stream: NodeJS.ReadableStream | null, onLine: LineListener | undefined): void {
        if (stream === null) {
            return;
        }
        createInterface({ input: stream }).on("line", line => {
            this.#lastLines.push(line);
            this.#lastLines.splice(0, this.#lastLines.length - LAST_LINES_LIMIT);
            onLine?.(line);
        });
    }
}

/** Owns the child processes of one demo run and kills those left when the demo exits. */
export class ChildProcesses {
    readonly #processes = new Set<RunningProcess>();

    constructor() {
        process.once("exit", () => {
            this.killAll();
        });
    }

    start({ name, script, args, environment, onLine }: StartOptions): RunningProcess {
        const child = spawn(process.execPath, [...NODE_FLAGS, script, ...args], {
            env: { PATH: process.env["PATH"], ...environment },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const running = new RunningProcess(name, child, onLine);
        this.#processes.add(running);
        void running.exited.then(() => this.#processes.delete(running));
        return running;
    }

    async stopAll(): Promise<void> {
        await Promise.all([...this.#processes].map(running => running.stop()));
    }

    killAll(): void {
        for (const running of this.#processes) {
            running.signal("SIGKILL");
        }
    }
}
