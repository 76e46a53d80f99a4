import type { MeshDocument } from "../../src/state/document/index.js";
import type { Member } from "../../src/state/members/index.js";
import type { MeshView } from "../../src/state/view/index.js";

export const LOOPBACK = "127.0.0.1";
export const SERVICE = "ledger";
/** Path of the measured requests, with a query as real requests have. */
export const MEASURED_PATH = "/status/repairs/1842?season=autumn";
/** Exceeds the number of concurrent callers, so that no request is queued. */
export const SERVER_SLOTS = 64;

const ROUTE_TIMEOUT_MS = 5_000;

/** Builds a document with one service and one repeatable route. */
export function buildMeasuredDocument(): MeshDocument {
    return {
        mesh: {
            name: "measure",
            weighing: "balanced",
            regions: { erie: { failureDomains: ["erie-a"] } },
            storeRegion: "erie",
            latency: { betweenFailureDomainsMs: 1, betweenRegionsMs: 12, toClientsMs: 8 },
            linkBitsPerSecond: 30_000_000,
            claims: { shards: 32, retentionMs: 86_400_000, answerBytes: 4_096 },
        },
        services: {
            [SERVICE]: {
                name: SERVICE,
                servers: { "erie-a": 1 },
                slots: SERVER_SLOTS,
                connections: 120,
                connectTimeoutMs: 1_000,
                connectionCostMs: 1,
                probe: { path: "/health", intervalMs: 5_000, timeoutMs: 1_000, costMs: 1 },
                queue: { length: 64, deadlineMs: 1_000 },
                retry: { attempts: 3, budget: 0.2, minimumPerSecond: 3, baseDelayMs: 5, maximumDelayMs: 100 },
                slowStartMs: 0,
                whenAbsent: "wait",
            },
        },
        routes: {
            status: {
                name: "status",
                match: { methods: ["GET"], pathPrefix: "/status" },
                service: SERVICE,
                class: "families",
                timeoutMs: ROUTE_TIMEOUT_MS,
                repeatable: true,
                maximumRequestBytes: 1_000_000,
                resources: [],
            },
        },
        classes: { families: { name: "families", weight: 1, maximumShare: 1 } },
        resources: {},
    };
}

/** Builds the member that owns the measured server. */
export function buildOwner(id: string, relayPort: number, serverPort: number): Member {
    return {
        id,
        address: LOOPBACK,
        peerPort: 1,
        relayPort,
        failureDomain: "erie-a",
        region: "erie",
        incarnation: 1,
        revision: 1,
        state: "live",
        server: { service: SERVICE, address: LOOPBACK, port: serverPort, slots: SERVER_SLOTS, connections: 120 },
    };
}

export function buildMeasuredView(owner: Member | undefined): MeshView {
    return {
        configuration: { version: 1, root: "measure", document: buildMeasuredDocument() },
        members: new Map(owner === undefined ? [] : [[owner.id, owner]]),
        membersByService: new Map(owner === undefined ? [] : [[SERVICE, [owner]]]),
        cutOffDomains: new Set(),
    };
}
