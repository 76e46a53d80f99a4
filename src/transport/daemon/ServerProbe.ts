import { request } from "undici";
import type { ServerStateTracker } from "../../coordination/renewal/index.js";
import type { ServerRecord } from "../../state/members/index.js";
import type { ReadMeshView } from "../../state/view/index.js";
import { realTimers, withTimeoutSignal } from "../timers/index.js";

const TICK_INTERVAL_MS = 500;
/** Used until a document that configures the service's probe is in force. */
const DEFAULT_PROBE_SETTINGS = { path: "/health", timeoutMs: 1000 } as const;
const SERVER_ERROR_STATUS = 500;

/** Methods of `ServerWatch` that the probe uses. */
export type ProbedWatch = Pick<ServerStateTracker, "observeAnswer" | "observeProbe" | "readServer" | "tick">;

/** Stops the registered probe. */
export type Teardown = () => void;

/** Sends one probe. Any response with a status below 500 counts as healthy. */
async function probeServer(server: ServerRecord, readView: ReadMeshView): Promise<boolean> {
    const probe = readView().configuration?.document.services[server.service]?.probe ?? DEFAULT_PROBE_SETTINGS;
    const host = server.address.includes(":") ? `[${server.address}]` : server.address;
    try {
        return await withTimeoutSignal(realTimers, probe.timeoutMs, async signal => {
            const response = await request(`http://${host}:${server.port}${probe.path}`, { signal });
            await response.body.dump();
            return response.statusCode < SERVER_ERROR_STATUS;
        });
    }
    catch {
        return false;
    }
}

/** Checks the renewals of the daemon's server at an interval, and probes it when the watch requests a probe. */
export function registerServerProbe(
    watch: ProbedWatch,
    readView: ReadMeshView,
    readLastResultAt: () => number,
    reportHealth: (isHealthy: boolean) => void,
): Teardown {
    let isProbing = false;
    const timer = setInterval(() => {
        watch.observeAnswer(readLastResultAt());
        const server = watch.readServer();
        if (!watch.tick(Date.now()) || server === undefined || isProbing) {
            return;
        }
        isProbing = true;
        void probeServer(server.record, readView).then(answered => {
            isProbing = false;
            watch.observeProbe(answered, Date.now());
            reportHealth(answered);
        });
    }, TICK_INTERVAL_MS);
    return () => {
        clearInterval(timer);
    };
}
