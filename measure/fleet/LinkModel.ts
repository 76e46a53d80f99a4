import type { StorePort, StoreResult } from "../../src/state/store/index.js";
import type { DelayLink } from "../../src/transport/mesh/index.js";

/** Latencies and link capacity of section 1.6 of the design. */
const BETWEEN_DOMAINS_MS = 1;
const BETWEEN_REGIONS_MS = 12;
/** Share of the 30 Mbit/s link that one of the two processes of a region gets. */
const LINK_BYTES_PER_MS = 30_000 / 8 / 2;

/** The link between regions; `busyUntil` is when it has sent everything queued on it. */
export interface SharedLink {
    busyUntil: number;
}

function enqueueOnLink(link: SharedLink, bytes: number): number {
    const now = performance.now();
    link.busyUntil = Math.max(now, link.busyUntil) + bytes / LINK_BYTES_PER_MS;
    return link.busyUntil - now;
}

export function createDelayLink(link: SharedLink): DelayLink {
    return (from, to, bytes) => {
        if (from.region !== to.region) {
            return BETWEEN_REGIONS_MS + enqueueOnLink(link, bytes);
        }
        return from.failureDomain === to.failureDomain ? 0 : BETWEEN_DOMAINS_MS;
    };
}

/** Wraps the store with the latency seen by daemons of a region; answers to another region queue on the link. */
export function createDelayedStore(
    store: StorePort,
    isOtherRegion: boolean,
    link: SharedLink,
    onCall: () => void,
): StorePort {
    const latencyMs = isOtherRegion ? BETWEEN_REGIONS_MS : BETWEEN_DOMAINS_MS;
    async function forwardCall<T>(perform: () => StoreResult<T>): Promise<Awaited<StoreResult<T>>> {
        onCall();
        await sleepFor(latencyMs);
        const result = await perform();
        const bytes = result.map(value => JSON.stringify(value ?? null).length).orDefault(0);
        await sleepFor(latencyMs + (isOtherRegion ? enqueueOnLink(link, bytes) : 0));
        return result;
    }
    return {
        delete: (key, version, signal) => forwardCall(() => store.delete(key, version, signal)),
        get: (key, signal) => forwardCall(() => store.get(key, signal)),
        list: (prefix, signal) => forwardCall(() => store.list(prefix, signal)),
        put: (key, value, condition, signal) => forwardCall(() => store.put(key, value, condition, signal)),
        watch: (key, after, waitMs, signal) => forwardCall(() => store.watch(key, after, waitMs, signal)),
    };
}

export function sleepFor(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
