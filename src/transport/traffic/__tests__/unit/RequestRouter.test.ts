/**
 * Guards against requests of a tenant that run beyond its limit, or that are counted twice or not at all, and against keys
 * that are asked for again after a request was decided.
 */
import type { IncomingMessage } from "node:http";
import { expect, it } from "vitest";
import type { CountedEvent, RequestRecord } from "../../../../coordination/recording/index.js";
import { Access } from "../../../../coordination/tenants/index.js";
import { RequestKind } from "../../../../state/traffic/index.js";
import type { Tenant } from "../../../../state/traffic/index.js";
import { createSilentLogger, createTestDialect } from "../../../ownership/__tests__/fixtures/Admission.js";
import type { RouteDecision } from "../../../routes/index.js";
import { realTimers } from "../../../timers/index.js";
import type { CallerExchange } from "../../CallerExchange.js";
import { HedgeManager } from "../../HedgeManager.js";
import { RequestRouter } from "../../RequestRouter.js";
import type { FoundRoute, RequestRouterOptions } from "../../RequestRouter.js";
import type { ServerDirectory } from "../../ServerDirectory.js";

const TENANT: Tenant = { burst: 5, name: "pulo780", ratePerSecond: 9 };
const DECISION: FoundRoute = {
    confirmedAgeMs: 1,
    revision: 3,
    route: {
        kind: RequestKind.Idempotent,
        maximumServers: 1,
        name: "stock",
        pathPrefix: "/",
        priority: 4,
        targetLatencyMs: 500,
        targets: [{ service: "ledger", weight: 1 }],
        timeoutMs: 800,
    },
    version: 7,
};

interface TestRouter {
    readonly answers: string[];
    readonly counted: CountedEvent[];
    readonly recorded: RequestRecord[];
    forward(decision: FoundRoute): void;
    decide(decision: RouteDecision, headers?: Record<string, string>): Promise<string>;
}

/** A router without servers, so that a request that isn't refused before gets 503. */
function createRouter(takeQuota?: RequestRouterOptions["takeQuota"]): TestRouter {
    const answers: string[] = [];
    const counted: CountedEvent[] = [];
    const recorded: RequestRecord[] = [];
    let decided: RouteDecision = DECISION;
    const dialect = createTestDialect();
    const directory = {
        estimateSlotWait: () => 100,
        listCandidates: () => [],
        listIncludingEjected: () => [],
    } as unknown as ServerDirectory;
    const router = new RequestRouter({
        dialect: {
            ...dialect,
            parseCallerHeaders: headers => ({
                ...dialect.parseCallerHeaders(headers),
                key: headers["x-key"] as string | undefined,
                parentId: headers["x-parent"] as string | undefined,
            }),
        },
        directory,
        findRestriction: () => undefined,
        findRunning: () => undefined,
        findSuspicion: () => undefined,
        hedging: new HedgeManager({
            directory,
            log: createSilentLogger(),
            now: () => 1_000,
            random: () => 0.5,
            readSettings: () => ({ excludedRoutes: [], minimumDelayMs: 0, share: 0 }),
            takeHedge: () => false,
        }),
        log: createSilentLogger(),
        now: () => 1_000,
        random: () => 0.5,
        readCallerService: () => "status-desk",
        recorder: { count: event => counted.push(event), record: record => recorded.push(record) },
        recordOutdated: () => undefined,
        recordRelayedAnswer: () => undefined,
        recordRequest: () => undefined,
        recordRetry: () => undefined,
        resolveRoute: () => decided,
        selfId: "self",
        takeQuota,
        takeRetry: () => true,
        timers: realTimers,
        widen: () => undefined,
    });
    const createExchange = (headers: Record<string, string> = {}): CallerExchange => ({
        hasCallerLeft: false,
        request: { headers, method: "GET", rawHeaders: [] } as unknown as IncomingMessage,
        sendDaemonAnswer: (status: number, outcome: string, _text: string, sent: readonly string[] = []) =>
            answers.push([status, outcome, ...sent].join(" ")),
    } as unknown as CallerExchange);
    return {
        answers,
        counted,
        decide: async (decision, headers) => {
            decided = decision;
            const found = await router.decide(createExchange(headers), "r-1", "/stock/1");
            return found === undefined ? answers.at(-1) ?? "" : found.tenant?.name ?? "no tenant";
        },
        forward: decision =>
            router.forward(createExchange(), {
                arrivedAt: 900,
                body: new Uint8Array(0),
                decision,
                release: () => undefined,
                requestId: "r-1",
                target: "/stock/1",
            }),
        recorded,
    };
}

it("a request over the limit of its tenant gets 429 with the time to come back, and is recorded and counted once", () => {
    const asked: unknown[] = [];
    const { answers, counted, forward, recorded } = createRouter((tenant, now) => {
        asked.push([tenant.name, now]);
        return 250;
    });
    forward({ ...DECISION, tenant: TENANT });
    expect(asked).toEqual([["pulo780", 1_000]]);
    expect(answers).toEqual(["429 not-run retry-after 0.25"]);
    expect(counted).toEqual([{ class: "stock", kind: "refused", reason: "class-limit", service: "ledger" }]);
    expect(recorded).toMatchObject([{
        latencyMs: 100,
        outcome: "not-run",
        status: 429,
        tenant: "pulo780",
        version: 7,
    }]);
});

it("a request within the limit, without a tenant or without limits goes on", () => {
    const within = createRouter(() => undefined);
    within.forward({ ...DECISION, tenant: TENANT });
    const keyless = createRouter(() => 250);
    keyless.forward(DECISION);
    const unlimited = createRouter();
    unlimited.forward({ ...DECISION, tenant: TENANT });
    for (const { answers } of [within, keyless, unlimited]) {
        expect(answers).toEqual([expect.stringMatching(/^503/)]);
    }
});

it("a request is answered by what is known of its key", async () => {
    const { decide } = createRouter();
    expect(await decide({ ...DECISION, access: Access.Granted, tenant: TENANT }, { "x-key": "k" })).toBe("pulo780");
    expect(await decide({ ...DECISION, access: Access.Denied }, { "x-key": "k" })).toBe("401 not-run");
    expect(await decide({ ...DECISION, access: Access.Denied })).toBe("401 not-run");
    expect(await decide({ ...DECISION, access: Access.Denied }, { "x-parent": "p" })).toMatch(
        /^503 not-run retry-after/,
    );
    expect(await decide({ ...DECISION, access: Access.Denied }, { "x-key": "k", "x-parent": "p" })).toBe("401 not-run");
    expect(await decide({ ...DECISION, access: Access.Unconfirmed }, { "x-key": "k" })).toMatch(/^503 not-run retry/);
    expect(await decide({ ...DECISION, access: Access.Denied, route: undefined })).toBe("404 not-run");
});
