/** Applies faults and rate limits before and after each request. */
import type { FastifyInstance, FastifyRequest } from "fastify";
import { setTimeout as delay } from "node:timers/promises";
import type { StoreState } from "./StoreFaults.js";
import { TokenBucket } from "./TokenBucket.js";

const PROTOCOL_PREFIX = "/v1/";
const WRITE_METHODS: ReadonlySet<string> = new Set(["PUT", "DELETE"]);

export interface RateLimits {
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
}

function isWrite(request: FastifyRequest): boolean {
    return WRITE_METHODS.has(request.method);
}

/** Registers the hooks; they ignore requests outside the protocol, such as those to the fault switches. */
export function registerStoreHooks(server: FastifyInstance, state: StoreState, limits: RateLimits): void {
    const writeBucket = new TokenBucket(limits.writesPerSecond, performance.now());
    const readBucket = new TokenBucket(limits.readsPerSecond, performance.now());

    server.addHook("onRequest", async (request, reply) => {
        if (!request.url.startsWith(PROTOCOL_PREFIX)) {
            return;
        }
        if (state.faults.delayMs > 0) {
            await delay(state.faults.delayMs, undefined, { ref: false });
        }
        if (state.faults.outage) {
            state.count("dropped");
            reply.hijack();
            request.raw.socket.destroy();
            return;
        }
        if (!(isWrite(request) ? writeBucket : readBucket).tryTake(performance.now())) {
            state.count("refusedByRate");
            await reply.code(429).header("retry-after", "1").send({
                error: { code: "rate", message: "more requests than the store accepts" },
            });
        }
    });

    server.addHook("onSend", async (request, reply, payload) => {
        const isSuccess = reply.statusCode < 300;
        const isProtocol = request.url.startsWith(PROTOCOL_PREFIX);
        // An outage also drops the answers to requests that arrived before it began.
        if (isProtocol && (state.faults.outage || isSuccess && isWrite(request) && state.takeLostAnswer())) {
            request.raw.socket.destroy();
        }
        return payload;
    });
}
