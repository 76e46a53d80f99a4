/** Sends generated requests through the daemons in turn at a fixed rate and records each result. */
import { Agent, request } from "undici";
import { CONTENT_HASH_HEADER, REQUEST_TAG_HEADER } from "../standins/backend/index.js";
import type { PlannedRequest, RequestGenerator } from "./RequestGenerator.js";

const REQUEST_TIMEOUT_MS = 20_000;

/** Result of one request as its caller saw it. */
export interface RequestResult {
    readonly planned: PlannedRequest;
    readonly sentAt: number;
    readonly endedAt: number;
    /** Request port of the daemon that the request was sent to. */
    readonly daemonPort: number;
    /** Undefined when the connection failed before the answer's head. */
    readonly status: number | undefined;
    /** Value of `papayaturn-outcome`. */
    readonly outcome: string | undefined;
    readonly body: Buffer;
    readonly contentHash: string | undefined;
    /** Why no complete answer was received; undefined when one was. */
    readonly failure: string | undefined;
}

export interface LoadGenerator {
    /** Stops sending to the daemon at this port until `resume`, as callers of a stopping daemon do. */
    pause(port: number): void;
    resume(port: number): void;
    readonly results: readonly RequestResult[];
    /** Stops sending and waits for the requests in flight. */
    finish(): Promise<readonly RequestResult[]>;
}

function readHeader(headers: Record<string, string | string[] | undefined>, name: string): string | undefined {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function buildHeaders(planned: PlannedRequest): Record<string, string> {
    return {
        [REQUEST_TAG_HEADER]: planned.tag,
        ...(planned.host === undefined ? {} : { host: planned.host }),
        ...(planned.idempotencyKey === undefined ? {} : { "idempotency-key": planned.idempotencyKey }),
        ...(planned.body === undefined ? {} : { "content-type": "application/json" }),
    };
}

/** Sends one request. The result reports a failed connection or a truncated answer; neither is thrown. */
export async function sendRequest(planned: PlannedRequest, daemonPort: number, agent: Agent): Promise<RequestResult> {
    const sentAt = Date.now();
    const received: Partial<Pick<RequestResult, "status" | "outcome" | "contentHash">> = {};
    let body = Buffer.alloc(0);
    let failure: string | undefined;
    try {
        const response = await request(`http://127.0.0.1:${daemonPort}${planned.path}`, {
            body: planned.body ?? null,
            dispatcher: agent,
            headers: buildHeaders(planned),
            method: planned.method as "GET",
            signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
        });
        Object.assign(received, {
            contentHash: readHeader(response.headers, CONTENT_HASH_HEADER),
            outcome: readHeader(response.headers, "papayaturn-outcome"),
            status: response.statusCode,
        });
        body = Buffer.from(await response.body.arrayBuffer());
    }
    catch (error) {
        failure = (error as Error).message;
    }
    return {
        body,
        contentHash: received.contentHash,
        daemonPort,
        endedAt: Date.now(),
        failure,
        outcome: received.outcome,
        planned,
        sentAt,
        status: received.status,
    };
}

/** Starts sending requests to the daemons in round-robin order. */
export function startLoadGenerator(
    plan: RequestGenerator,
    daemonPorts: readonly number[],
    requestsPerSecond: number,
): LoadGenerator {
    const agent = new Agent({ connections: 16 });
    const results: RequestResult[] = [];
    const inFlight = new Set<Promise<void>>();
    const paused = new Set<number>();
    let sent = 0;
    const timer = setInterval(() => {
        const port = daemonPorts[sent++ % daemonPorts.length];
        if (port === undefined || paused.has(port)) {
            return;
        }
        const task: Promise<void> = sendRequest(plan.generateRequest(), port, agent).then(result => {
            results.push(result);
            inFlight.delete(task);
        });
        inFlight.add(task);
    }, 1000 / requestsPerSecond);
    return {
        finish: async () => {
            clearInterval(timer);
            await Promise.all(inFlight);
            await agent.close();
            return results;
        },
        pause: port => {
            paused.add(port);
        },
        results,
        resume: port => {
            paused.delete(port);
        },
    };
}
