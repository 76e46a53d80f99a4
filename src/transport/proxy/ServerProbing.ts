import type { ProxyContext } from "./ProxyContext.js";

/** Time without a request's result after which the server is probed, and least time between probes. */
const PROBE_QUIET_MS = 5_000;
const PROBE_CHECK_INTERVAL_MS = 1_000;
const FIRST_ERROR_STATUS = 400;

/** Probes the own server while no request shows its state; returns the teardown function. */
export function registerServerProbing(context: ProxyContext): () => void {
    let probedAt = Number.NEGATIVE_INFINITY;
    const timer = setInterval(() => {
        const now = context.options.now();
        const isQuiet = now - Math.max(probedAt, context.ownServer.lastResultAt) >= PROBE_QUIET_MS;
        if (isQuiet && context.ownServer.isAccepting()) {
            probedAt = now;
            void probeServer(context, now);
        }
    }, PROBE_CHECK_INTERVAL_MS);
    timer.unref();
    return () => {
        clearInterval(timer);
    };
}

/** Asks the server's health endpoint; its word is reported with the load and removes no server. */
async function probeServer(context: ProxyContext, now: number): Promise<void> {
    const { ownServer, pools } = context;
    const record = ownServer.readRecord();
    const settings = ownServer.readSettings();
    if (record === undefined || settings === undefined) {
        return;
    }
    const pool = pools.get({
        address: record.address,
        port: record.port,
        connections: record.slots,
        connectTimeoutMs: settings.connectTimeoutMs,
    }, now);
    try {
        const answer = await pool.request({
            method: "GET",
            path: settings.probe.path,
            signal: AbortSignal.timeout(settings.probe.timeoutMs),
        });
        await answer.body.dump();
        ownServer.setHealthy(answer.statusCode < FIRST_ERROR_STATUS);
    }
    catch {
        ownServer.setHealthy(false);
    }
}
