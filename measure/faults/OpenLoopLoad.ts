import type { Dispatcher } from "undici";
import type { Random } from "../../src/state/shared/index.js";

import { Agent } from "undici";
import { invariant } from "../../src/state/shared/index.js";
import { sleep } from "./CountingStore.js";
import { REQUEST_NUMBER_HEADER } from "./WorkerMessages.js";

const MS_PER_S = 1_000;

/** Share of requests that are deposits, which may run at most once. */
const DEPOSIT_SHARE = 0.2;

/** Delay after which a caller repeats an unanswered deposit under the same key. */
const REPEAT_DELAY_MS = 200;

/** Exceeds the routes' deadline, so that the mesh answers before a caller gives up. */
const CALLER_TIMEOUT_MS = 1_500;

/** Result of one request as its caller saw it. */
export interface CallResult {
    /** Number of the request, which a repeated deposit keeps. */
    readonly request: number;
    readonly isDeposit: boolean;
    readonly outcome: "answered" | "not-run" | "failed";
    readonly latencyMs: number;
    /** Whether every attempt was reported to the caller as not run. */
    readonly wasReportedNotRun: boolean;
}

/** Open-loop load: callers send at scheduled times, independent of the answers. */
export interface OpenLoopLoad {
    /** Sends `rate` requests per second for `durationMs` and resolves when all have completed. */
    run(rate: number, durationMs: number, listPorts: () => readonly number[]): Promise<readonly CallResult[]>;
    stop(): Promise<void>;
}

/**
 * `random` draws the load. `repeatRandom` draws the entry daemons of repetitions, whose number depends
 * on the answers, so that each policy gets the same load.
 */
export function createOpenLoopLoad(random: Random, repeatRandom: Random): OpenLoopLoad {
    const agent = new Agent({ connections: 256, headersTimeout: CALLER_TIMEOUT_MS, bodyTimeout: CALLER_TIMEOUT_MS });
    let lastRequest = 0;

    async function run(
        rate: number,
        durationMs: number,
        listPorts: () => readonly number[],
    ): Promise<readonly CallResult[]> {
        const calls: Promise<CallResult>[] = [];
        const startedAt = performance.now();
        for (let due = generateInterarrivalMs(rate); due < durationMs; due += generateInterarrivalMs(rate)) {
            const pauseMs = startedAt + due - performance.now();
            if (pauseMs > 1) {
                await sleep(pauseMs);
            }
            calls.push(runCall(selectPort(listPorts(), random), ++lastRequest, random() < DEPOSIT_SHARE, listPorts));
        }
        return Promise.all(calls);
    }

    function generateInterarrivalMs(rate: number): number {
        return -Math.log(1 - random()) * MS_PER_S / rate;
    }

    function selectPort(ports: readonly number[], draw: Random): number {
        const port = ports[Math.floor(draw() * ports.length)];
        invariant(port, "an entry daemon is left");
        return port;
    }

    async function runCall(
        port: number,
        request: number,
        isDeposit: boolean,
        listPorts: () => readonly number[],
    ): Promise<CallResult> {
        const startedAt = performance.now();
        const first = await sendRequest(agent, port, request, isDeposit);
        let outcome = first;
        if (isDeposit && first !== "answered") {
            await sleep(REPEAT_DELAY_MS);
            outcome = await sendRequest(agent, selectPort(listPorts(), repeatRandom), request, isDeposit);
        }
        return {
            request,
            isDeposit,
            outcome,
            latencyMs: performance.now() - startedAt,
            wasReportedNotRun: first === "not-run" && outcome === "not-run",
        };
    }

    return { run, stop: () => agent.close() };
}

async function sendRequest(
    dispatcher: Dispatcher,
    port: number,
    request: number,
    isDeposit: boolean,
): Promise<CallResult["outcome"]> {
    try {
        const { statusCode, headers, body } = await dispatcher.request({
            origin: `http://127.0.0.1:${port}`,
            method: isDeposit ? "POST" : "GET",
            path: isDeposit ? "/deposits" : "/status",
            headers: {
                [REQUEST_NUMBER_HEADER]: String(request),
                ...(isDeposit && { "idempotency-key": `deposit-${request}` }),
            },
        });
        await body.dump();
        if (statusCode < 300) {
            return "answered";
        }
        return headers["papayaturn-outcome"] === "not-run" ? "not-run" : "failed";
    }
    catch {
        return "failed";
    }
}
