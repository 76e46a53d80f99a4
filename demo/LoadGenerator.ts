/** Sends the planned requests through different daemons at a steady rate and records each result. */
import { Agent, request } from "undici";
import { CONTENT_HASH_HEADER, REQUEST_TAG_HEADER } from "../standins/backend/index.js";
import type { PlannedRequest, RequestGenerator } from "./RequestGenerator.js";

const REQUEST_TIMEOUT_MS = 20_000;

/** Result of one request as its caller saw it. */
export interface RequestResult {
    readonly planned: PlannedRequest;
    readonly sentAt: number;
    readonly endedAt: number;
    /** Port of the daemon that got the request. */
    readonly daemonPort: number;
    /** Undefined when the connection failed before an answer. */
    readonly status: number | undefined;
    /** Value of `papayaturn-outcome`. */
    readonly outcome: string | undefined;
    readonly body: Buffer;
    readonly contentHash: string | undefined;
    /** Why no whole answer was received. */
    readonly failure: string | undefined;
}

export interface LoadGenerator {
    /** Sends nothing more to the daemon with this port until `resume`; callers of a stopping daemon leave it. */
    pause(port: number): void;
    resume(port: number): void;
    readonly results: readonly RequestResult[];
    /** Stops sending and waits for the answers of the requests in flight. */
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

/** Sends one request. A failed connection or a cut answer is part of the result, not thrown. */
export async function sendRequest(planned: PlannedRequest, daemonPort: number, agent: Agent): Promise<RequestResult> {
    const sentAt = Date.now();
    const seen: Partial<Pick<RequestResult, "status" | "outcome" | "contentHash">> = {};
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
        Object.assign(seen, {
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
        contentHash: seen.contentHash,
        daemonPort,
        endedAt: Date.now(),
        failure,
        outcome: seen.outcome,
        planned,
        sentAt,
        status: seen.status,
    };
}

/** Starts sending. The daemons get the requests in turn. */
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
