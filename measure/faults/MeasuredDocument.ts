import type { MeshDocument, RouteSettings } from "../../src/state/document/index.js";

/** Slots and service time of each measured backend server. */
export const SLOTS = 3;
export const SERVICE_MS = 50;

/** Deadline of each request. */
export const TIMEOUT_MS = 500;

export const FAILURE_DOMAINS = ["erie-a", "erie-b", "erie-c"] as const;
export const SERVICE = "ledger";

export interface DocumentOptions {
    /** Whether deposits require a key and run at most once. */
    readonly isKeyed: boolean;
    /** Maximum attempts of a request, including the first; `DEFAULT_ATTEMPTS` if left out. */
    readonly attempts?: number;
}

const DEFAULT_ATTEMPTS = 3;

/** Builds the document of the measured mesh: a repeatable route `/status` and the route `/deposits`. */
export function createMeasuredDocument({ isKeyed, attempts = DEFAULT_ATTEMPTS }: DocumentOptions): MeshDocument {
    return {
        mesh: {
            name: "measured",
            weighing: "balanced",
            regions: { erie: { failureDomains: FAILURE_DOMAINS } },
            storeRegion: "erie",
            latency: { betweenFailureDomainsMs: 1, betweenRegionsMs: 12, toClientsMs: 8 },
            linkBitsPerSecond: 30_000_000,
            claims: { shards: 32, retentionMs: 86_400_000, answerBytes: 4_096 },
        },
        services: {
            [SERVICE]: {
                name: SERVICE,
                servers: {},
                slots: SLOTS,
                connections: 40,
                connectTimeoutMs: 200,
                connectionCostMs: 1,
                probe: { path: "/health", intervalMs: 1_000, timeoutMs: 500, costMs: 6 },
                queue: { length: 6, deadlineMs: 300 },
                retry: { attempts, budget: 0.2, minimumPerSecond: 3, baseDelayMs: 10, maximumDelayMs: 100 },
                slowStartMs: 2_000,
                whenAbsent: "refuse",
            },
        },
        routes: {
            status: createRoute("status", true),
            deposits: createRoute("deposits", !isKeyed),
        },
        classes: { families: { name: "families", weight: 1, maximumShare: 1 } },
        resources: {},
    };
}

function createRoute(name: string, repeatable: boolean): RouteSettings {
    return {
        name,
        match: { methods: [], pathPrefix: `/${name}` },
        service: SERVICE,
        class: "families",
        timeoutMs: TIMEOUT_MS,
        repeatable,
        maximumRequestBytes: 10_000,
        resources: [],
    };
}
