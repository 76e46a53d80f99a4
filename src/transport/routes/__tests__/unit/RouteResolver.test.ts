import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { DecisionAges, VersionLag } from "../../../../coordination/distribution/index.js";
import { Distance } from "../../../../coordination/placement/index.js";
import type { GossipMessage } from "../../../../protocol/session/index.js";
import { RequestKind } from "../../../../state/traffic/index.js";
import type { RoutePolicy, TrafficConfiguration } from "../../../../state/traffic/index.js";
import { LeaseState, RenewalOutcome } from "../../../directory/index.js";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { realTimers } from "../../../timers/index.js";
import { RouteQueries, RouteResolver } from "../../index.js";
import type { RouteDecision, RouteResolverOptions } from "../../index.js";

/** Above the time for which a daemon's own version decides although a newer one is known. */
const OUTDATED_MS = 1_000;
const DEADLINE_MS = 3_000;

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

function createRoute(service: string): RoutePolicy {
    return {
        kind: RequestKind.Idempotent,
        maximumServers: 2,
        name: "r-stock",
        pathPrefix: "/stock/",
        priority: 1,
        targetLatencyMs: 500,
        targets: [{ service, weight: 1 }],
        timeoutMs: 1_000,
    };
}

/** A version whose only route leads to `service`; without one, it has no route. */
function createConfiguration(version: number, service?: string): TrafficConfiguration {
    return {
        limits: { bodyBytes: 1, headerBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
        revision: version * 10,
        routesByHost: new Map([["mesh.example", service === undefined ? [] : [createRoute(service)]]]),
        services: new Map(),
        version,
    };
}

interface TestResolver {
    readonly lag: VersionLag;
    readonly asked: string[];
    readonly resolver: RouteResolver;
    /** Decisions by ages of up to 0.25, 0.5, 0.8 and 1 of the deadline, and beyond. */
    countDecisions(): readonly number[];
    resolve(path?: string, timeLeftMs?: number): Promise<string>;
    setOwn(configuration: TrafficConfiguration): void;
    advance(ms: number): Promise<void>;
}

const VALID_LEASE: RouteResolverOptions["lease"] = {
    awaitRenewal: () => Promise.resolve(RenewalOutcome.Renewed),
    check: () => LeaseState.Valid,
    readAgeMs: () => 0,
    readNewest: () => undefined,
};

/** A daemon beside others, by their ids; one without a version doesn't answer. */
function createResolver(
    ownConfiguration: TrafficConfiguration,
    peers: Readonly<Record<string, TrafficConfiguration | undefined>>,
    lease = VALID_LEASE,
): TestResolver {
    let own = ownConfiguration;
    let now = 0;
    const lag = new VersionLag();
    lag.recordOwn(own.version);
    const ages = new DecisionAges(DEADLINE_MS);
    const asked: string[] = [];
    const answering = new Map(
        Object.entries(peers).map(([id, configuration]) => [
            id,
            new RouteQueries({
                onUnanswered: () => undefined,
                readConfiguration: () => configuration,
                send: (_id, message) => void Promise.resolve().then(() => handleAnswer(id, message)),
                timers: realTimers,
            }),
        ]),
    );
    const queries = new RouteQueries({
        onUnanswered: id => lag.recordUnanswered(id, now),
        readConfiguration: () => own,
        send: (id, message) => {
            asked.push(id);
            if (message.kind === "routeQuery") {
                answering.get(id)?.answerQuery("self", message);
            }
        },
        timers: realTimers,
    });
    function handleAnswer(id: string, message: GossipMessage): void {
        if (message.kind === "routeAnswer") {
            queries.handleAnswer(id, message);
        }
    }
    const resolver = new RouteResolver({
        ages,
        lag,
        lease,
        listReachable: () => Object.keys(peers).map(id => ({ distance: Distance.SameDomain, id })),
        log: createSilentLogger(),
        now: () => now,
        queries,
        random: () => 0.5,
        readConfiguration: () => own,
    });
    return {
        advance: async ms => {
            now += ms;
            await vi.advanceTimersByTimeAsync(ms);
        },
        asked,
        lag,
        resolver,
        countDecisions: () => ages.list().map(({ decisions }) => decisions),
        resolve: async (path = "/stock/1", timeLeftMs = 2_000) =>
            describeDecision(
                await resolver.resolveRoute({
                    host: "mesh.example",
                    path,
                    readTimeLeftMs: () => timeLeftMs,
                    requestId: "r",
                }),
            ),
        setOwn: configuration => {
            own = configuration;
            lag.recordOwn(configuration.version);
        },
    };
}

function describeDecision(decision: RouteDecision | undefined): string {
    return decision === undefined
        ? "none"
        : `${decision.version}: ${decision.route?.targets.map(({ service }) => service).join() ?? "no route"}`;
}

/** Guards against requests that follow a replaced version, or wait for an answer that doesn't come. */
describe("the route of a request", () => {
    it("has the exact age of its version, which no rounding takes beyond the lease", () => {
        const ageMs = 0.95 * DEADLINE_MS - 0.4;
        const { resolver } = createResolver(createConfiguration(1, "ledger"), {}, {
            ...VALID_LEASE,
            readAgeMs: () => ageMs,
        });
        const decision = resolver.resolveRoute({
            host: "mesh.example",
            path: "/stock/1",
            readTimeLeftMs: () => undefined,
            requestId: "r",
        });
        expect(decision).toMatchObject({ confirmedAgeMs: ageMs, version: 1 });
    });

    it("is found without asking anybody while the own version is the newest known, also when there is none", async () => {
        const { asked, resolve } = createResolver(createConfiguration(4, "ledger"), { a: createConfiguration(4) });
        expect([await resolve(), await resolve("/none/")]).toEqual(["4: ledger", "4: no route"]);
        expect(asked).toEqual([]);
    });

    it("comes from the newest version that another daemon has once the own one is outdated", async () => {
        const { advance, asked, lag, resolve } = createResolver(createConfiguration(4, "ledger"), {
            a: createConfiguration(5, "status-desk"),
            b: createConfiguration(6, "workroom"),
            c: createConfiguration(4, "ledger"),
        });
        lag.recordPeer("a", 5, 0);
        lag.recordPeer("b", 6, 0);
        lag.recordPeer("c", 4, 0);
        await advance(OUTDATED_MS);
        expect(await resolve()).toBe("6: workroom");
        expect(asked).toEqual(["b"]);
    });

    it("is never missing by a version that is known to be replaced", async () => {
        const { lag, resolve } = createResolver(createConfiguration(4), { a: createConfiguration(5, "workroom") });
        lag.recordPeer("a", 5, 0);
        expect(await resolve()).toBe("5: workroom");
    });

    it("is never missing by the version of another daemon that is known to be replaced", async () => {
        const { lag, resolve } = createResolver(createConfiguration(4), {
            a: createConfiguration(5),
            b: createConfiguration(6, "workroom"),
        });
        lag.recordPeer("a", 5, 0);
        lag.recordPeer("b", 6, 0);
        expect(await resolve()).toBe("6: workroom");
    });

    it("is unknown rather than missing when the daemon with the newest version is silent", async () => {
        const { advance, lag, resolve } = createResolver(createConfiguration(4), {
            a: createConfiguration(5),
            b: undefined,
        });
        lag.recordPeer("a", 5, 0);
        lag.recordPeer("b", 6, 0);
        const found = resolve();
        await advance(300);
        expect(await found).toBe("none");
    });

    it("is asked of a second daemon when the first one is silent", async () => {
        const { advance, asked, lag, resolve } = createResolver(createConfiguration(4, "ledger"), {
            a: undefined,
            b: createConfiguration(5, "workroom"),
        });
        lag.recordPeer("a", 5, 0);
        lag.recordPeer("b", 5, 0);
        await advance(OUTDATED_MS);
        const found = resolve();
        await advance(100);
        expect(await found).toBe("5: workroom");
        expect(asked).toEqual(["a", "b"]);
    });

    it("is unknown, and soon, when nobody answers; then the own version decides until one may answer again", async () => {
        const { advance, lag, resolve } = createResolver(createConfiguration(4, "ledger"), { a: undefined });
        lag.recordPeer("a", 5, 0);
        await advance(OUTDATED_MS);
        for (let count = 0; count < 3; count++) {
            const found = resolve();
            await advance(300);
            expect(await found).toBe("none");
        }
        expect(await resolve()).toBe("4: ledger");
        expect(await resolve("/none/")).toBe("4: no route");
    });

    it("never comes from an older version than that of an earlier request, although the newer one is lost", async () => {
        const peers: Record<string, TrafficConfiguration | undefined> = { a: createConfiguration(6, "workroom") };
        const { advance, lag, resolve } = createResolver(createConfiguration(4, "ledger"), peers);
        lag.recordPeer("a", 6, 0);
        await advance(OUTDATED_MS);
        expect(await resolve()).toBe("6: workroom");
        lag.removePeer("a");
        expect(await resolve()).toBe("none");
        lag.recordPeer("a", 5, OUTDATED_MS);
        expect(await resolve()).toBe("none");
    });

    it("never comes from an answer that is older than what has decided while it was on its way", async () => {
        const peers = { a: createConfiguration(5, "ledger"), b: createConfiguration(7, "workroom") };
        const { advance, lag, resolve, setOwn } = createResolver(createConfiguration(4, "ledger"), peers);
        lag.recordPeer("a", 5, 0);
        await advance(OUTDATED_MS);
        const found = resolve();
        setOwn(createConfiguration(6, "status-desk"));
        lag.requireVersion(7, OUTDATED_MS);
        lag.recordPeer("b", 7, OUTDATED_MS);
        expect(await found).toBe("7: workroom");
    });

    it("never comes from an answer that is older than the version that comes into force just after it", async () => {
        const peers = { a: createConfiguration(5, "ledger") };
        const { advance, lag, resolve, setOwn } = createResolver(createConfiguration(4, "ledger"), peers);
        lag.recordPeer("a", 5, 0);
        await advance(OUTDATED_MS);
        const found = resolve();
        setOwn(createConfiguration(6, "workroom"));
        expect(await found).toBe("6: workroom");
    });

    it("follows the copy of the newer version that arrives while another daemon is asked", async () => {
        const { advance, lag, resolve, setOwn } = createResolver(createConfiguration(4, "ledger"), { a: undefined });
        lag.recordPeer("a", 5, 0);
        await advance(OUTDATED_MS);
        const found = resolve();
        setOwn(createConfiguration(5, "workroom"));
        await advance(300);
        expect(await found).toBe("5: workroom");
    });
});

/** Guards against a request that is decided by a version that nobody has confirmed for longer than the deadline. */
describe("the route of a request when the own version is unconfirmed for longer than the lease", () => {
    interface TestLease {
        readonly lease: RouteResolverOptions["lease"];
        readonly limits: number[];
        /** Ends the renewal; `newest` is the newest version that it has confirmed. */
        end(outcome: RenewalOutcome, newest?: number): void;
    }

    function createExpiredLease(): TestLease {
        const limits: number[] = [];
        let newest: number | undefined;
        let resolveOutcome: (outcome: RenewalOutcome) => void = () => undefined;
        return {
            end: (outcome, confirmed) => {
                newest = confirmed;
                resolveOutcome(outcome);
            },
            lease: {
                awaitRenewal: limitMs => {
                    limits.push(limitMs);
                    return new Promise(resolve => {
                        resolveOutcome = resolve;
                    });
                },
                check: version => newest === version ? LeaseState.Valid : LeaseState.Expired,
                readAgeMs: version => newest === undefined || version < newest ? Infinity : 0,
                readNewest: () => newest === undefined ? undefined : { at: 0, version: newest },
            },
            limits,
        };
    }

    it("waits for a renewal that confirms the version, for half of the caller's time at most", async () => {
        const { end, lease, limits } = createExpiredLease();
        const { resolve } = createResolver(createConfiguration(4, "ledger"), {}, lease);
        const found = resolve("/stock/1", 600);
        await vi.advanceTimersByTimeAsync(0);
        expect(limits).toEqual([300]);
        end(RenewalOutcome.Renewed, 4);
        expect(await found).toBe("4: ledger");
    });

    it("comes from the version that the renewal has read", async () => {
        const { end, lease } = createExpiredLease();
        const { resolve, setOwn } = createResolver(createConfiguration(4, "ledger"), {}, lease);
        const found = resolve();
        setOwn(createConfiguration(6, "workroom"));
        end(RenewalOutcome.Renewed, 6);
        expect(await found).toBe("6: workroom");
    });

    it("comes from a daemon with the confirmed version, not from one with a version between", async () => {
        const { end, lease } = createExpiredLease();
        const { asked, lag, resolve } = createResolver(createConfiguration(4, "ledger"), {
            a: createConfiguration(5, "status-desk"),
            b: createConfiguration(6, "workroom"),
        }, lease);
        lag.recordPeer("a", 5, 0);
        lag.recordPeer("b", 6, 0);
        const found = resolve();
        end(RenewalOutcome.Renewed, 6);
        expect(await found).toBe("6: workroom");
        expect(asked).toEqual(["b"]);
    });

    it("is asked of a daemon with the confirmed version at once, without a further renewal", async () => {
        const { end, lease, limits } = createExpiredLease();
        const { lag, resolve } = createResolver(
            createConfiguration(4, "ledger"),
            { b: createConfiguration(6, "workroom") },
            lease,
        );
        lag.recordPeer("b", 6, 0);
        end(RenewalOutcome.Renewed, 6);
        expect(await resolve()).toBe("6: workroom");
        expect(limits).toEqual([]);
    });

    it("is that of the own version when nobody answers the renewal", async () => {
        const { end, lease } = createExpiredLease();
        const { countDecisions, resolve } = createResolver(createConfiguration(4, "ledger"), {}, lease);
        const found = resolve();
        end(RenewalOutcome.Unanswered);
        expect(await found).toBe("4: ledger");
        expect(countDecisions()).toEqual([0, 0, 0, 0, 1]);
    });

    it("comes from a daemon with the confirmed version also after a renewal that nobody has answered", async () => {
        const { end, lease, limits } = createExpiredLease();
        const { lag, resolve } = createResolver(
            createConfiguration(4, "ledger"),
            { b: createConfiguration(6, "workroom") },
            { ...lease, check: () => LeaseState.Unconfirmable },
        );
        expect(await resolve()).toBe("4: ledger");
        lag.recordPeer("b", 6, 0);
        end(RenewalOutcome.Unanswered, 6);
        expect(await resolve()).toBe("6: workroom");
        expect(limits).toEqual([]);
    });

    it("is unknown when the caller's time is over before the renewal", async () => {
        const { end, lease } = createExpiredLease();
        const { resolve } = createResolver(createConfiguration(4, "ledger"), {}, lease);
        const found = resolve();
        end(RenewalOutcome.OutOfTime);
        expect(await found).toBe("none");
    });
});
