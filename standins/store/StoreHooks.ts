/** Faults and rate limits, applied to each request before and after it is performed. */
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

/** Registers the hooks; requests outside the protocol, such as the switches, are left alone. */
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
        // An answer that was on its way when the outage began is lost as well.
        if (isProtocol && (state.faults.outage || isSuccess && isWrite(request) && state.takeLostAnswer())) {
            request.raw.socket.destroy();
        }
        return payload;
    });
}
