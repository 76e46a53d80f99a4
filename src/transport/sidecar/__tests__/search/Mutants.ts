/**
 * Mutants of the product: each has one wrong constant, comparison or call. The search is worth what it finds in them. A mutant
 * that it doesn't find is either not searched for, or what it lacks is covered by another decision.
 */

export interface Mutant {
    readonly name: string;
    /** Source file, from the root of the project. */
    readonly file: string;
    /** Text that occurs once in the file, and what replaces it. */
    readonly from: string;
    readonly to: string;
}

const LIMITS = "src/coordination/distribution/FreshnessLimits.ts";
const LAG = "src/coordination/distribution/VersionLag.ts";
const WATCHERS = "src/coordination/distribution/StoreWatchers.ts";
const MANAGER = "src/transport/directory/ConfigurationManager.ts";
const CONSTANTS = "src/transport/directory/DirectoryConstants.ts";
const RESOLVER = "src/transport/routes/RouteResolver.ts";
const FOLLOWER = "src/transport/directory/StoreFollower.ts";
const GOSSIP = "src/transport/sessions/HandleGossip.ts";
const REQUEST = "src/transport/traffic/ForwardedRequest.ts";

/** Without the lease a version decides however long nobody has confirmed it; what else is wrong in the background shows then. */
export const NO_LEASE = "no decision asks how old its version is";

/** To a suspended daemon what it knew before is as young as then; the others believe it. */
export const STEADY_AGES = "ages are counted by the steady clock alone";

export const MUTANTS: readonly Mutant[] = [
    {
        file: "src/transport/directory/VersionFetcher.ts",
        from: "this.#options.readStore(() => this.#answeredReads++);",
        name: "a silent store is read ever less often",
        to: "this.#answeredReads++; this.#options.readStore(() => undefined);",
    },
    {
        file: GOSSIP,
        from: "ageMs: confirmation.ageMs + transitMs",
        name: "the transit of a confirmation isn't counted",
        to: "ageMs: confirmation.ageMs",
    },
    {
        file: LAG,
        from: "if (version > this.#required) {",
        name: "a version that has decided isn't required",
        to: "if (version < 0) {",
    },
    {
        file: LIMITS,
        from: "const TAKEOVER_SPREAD_SHARE = 0.2;",
        name: "takeovers are spread five times as long",
        to: "const TAKEOVER_SPREAD_SHARE = 1;",
    },
    {
        file: LAG,
        from: "export const OWN_DECISION_LIMIT_MS = 500;",
        name: "own decisions last four times as long",
        to: "export const OWN_DECISION_LIMIT_MS = 2_000;",
    },
    {
        file: LIMITS,
        from: "const TAKE_OVER_SHARE = 0.5;",
        name: "takeovers begin twice as late",
        to: "const TAKE_OVER_SHARE = 1;",
    },
    {
        file: LIMITS,
        from: "const CONFIRM_SHARE = 0.28;",
        name: "checks of the store are four times as late",
        to: "const CONFIRM_SHARE = 1.12;",
    },
    {
        file: LIMITS,
        from: "const READ_LATE_SHARE = 0.65;",
        name: "late versions are read four times as late",
        to: "const READ_LATE_SHARE = 2.6;",
    },
    {
        file: LAG,
        from: "return candidates.filter(({ peer }) => peer.version >= expected)",
        name: "no other daemon decides",
        to: "return candidates.filter(() => false)",
    },
    {
        file: "src/coordination/routing/RouteCurrency.ts",
        from: "if (version > configuration.version) {",
        name: "servers run what a replaced version leads to them",
        to: "if (version >= 0) {",
    },
    {
        file: "src/coordination/routing/RouteCurrency.ts",
        from: "other.service === service && other.weight > 0",
        name: "servers run requests of a part whose weight has become 0",
        to: "other.service === service",
    },
    {
        file: RESOLVER,
        from: "return resolved.version >= (isRejected ? lag.readNewestBelieved(now()) : lag.lowestDeciding);",
        name: "an outdated version may answer 404",
        to: "return isRejected ? resolved.version > 0 : resolved.version >= lag.lowestDeciding;",
    },
    {
        file: RESOLVER,
        from: "lag.requireVersion(answer.version, now());",
        name: "the version of another daemon that has decided isn't required",
        to: "",
    },
    {
        file: MANAGER,
        from: "this.#watchers.recordLoss(now - this.#limits.takeOverAfterMs / 2);",
        name: "reports of watches count although confirmations are missing",
        to: "",
    },
    {
        file: MANAGER,
        from: "if (this.#watchers.recordEnd(id, this.#options.now())) {",
        name: "the watch of an ended process counts on",
        to: "if (id === \"\") {",
    },
    {
        file: MANAGER,
        from: "this.#recordConfirmation(version, confirmation.position,",
        name: "a confirmation of a newer version counts for the own one",
        to: "this.#recordConfirmation(this.#options.lag.own ?? version, confirmation.position,",
    },
    {
        file: LAG,
        from: "newer.find(({ version }) => this.isNewer(version))?.knownAt ?? []",
        name: "the time behind counts from the latest missing version",
        to: "newer.findLast(({ version }) => this.isNewer(version))?.knownAt ?? []",
    },
    {
        file: CONSTANTS,
        from: "export const MINIMUM_ANSWER_TIMEOUT_MS = 400;",
        name: "the store has 4 s to answer a check",
        to: "export const MINIMUM_ANSWER_TIMEOUT_MS = 4_000;",
    },
    {
        file: CONSTANTS,
        from: "export const FETCH_RETRY_MS = 300;",
        name: "a version is requested again after 3 s",
        to: "export const FETCH_RETRY_MS = 3_000;",
    },
    {
        file: CONSTANTS,
        from: "export const STORE_READ_DELAY_MS = 900;",
        name: "a daemon without copies waits 9 s before it reads the store",
        to: "export const STORE_READ_DELAY_MS = 9_000;",
    },
    {
        file: MANAGER,
        from: "return overdueMs >= this.#watchers.computeLossDelay(countDaemons());",
        name: "no version is overdue",
        to: "return overdueMs === Infinity;",
    },
    {
        file: WATCHERS,
        from:
            "#isTrusted({ at, isWorking }: WatchState): boolean {\n        return isWorking && at > this.#distrustedUntil;",
        name: "watches are trusted whatever was lost",
        to: "#isTrusted({ isWorking }: WatchState): boolean {\n        return isWorking;",
    },
    {
        file: RESOLVER,
        from: "if (decision === undefined || this.#isFinal(question, decision)) {",
        name: "the version of another daemon that is replaced may answer 404",
        to: "if (decision?.version !== 0) {",
    },
    {
        file: LAG,
        from: "return behindMs === undefined || behindMs <= OWN_DECISION_LIMIT_MS || sources.length === 0;",
        name: "the own version always decides",
        to: "return behindMs === undefined || behindMs > 0;",
    },
    {
        file: MANAGER,
        from: "this.#freshness.readAgeMs(now) - this.#limits.readLateAfterMs,",
        name: "a version that is missing is overdue only when the store was not read for 3 s",
        to: "this.#freshness.readAgeMs(now) - 3_000,",
    },
    {
        file: FOLLOWER,
        from: "freshness.removePosition();",
        name: "a position that the store has forgotten is kept",
        to: "",
    },
    {
        file: "src/coordination/routing/WeightedRoundRobin.ts",
        from: "const currentWeight = (currentWeights.get(service) ?? 0) + weight;",
        name: "parts of a split get equal shares",
        to: "const currentWeight = (currentWeights.get(service) ?? 0) + (weight > 0 ? 50 : 0);",
    },
    {
        file: "src/transport/traffic/RequestRouter.ts",
        from: "deadlineAt: arrivedAt + Math.min(budgetMs, route.timeoutMs),",
        name: "the timeout of the route is ignored",
        to: "deadlineAt: arrivedAt + budgetMs,",
    },
    {
        file: REQUEST,
        from: "if (refusal.reason === RefusalReason.Outdated && this.#tryReroute()) {",
        name: "requests that a newer version leads elsewhere aren't routed anew",
        to: "if (refusal.detail === \"\" && this.#tryReroute()) {",
    },
    {
        file: "src/transport/traffic/RequestRouter.ts",
        from: "reroutes: plan.reroutes + 1,\n            revision,\n            route,\n            service,",
        name: "a request that is routed anew keeps its service",
        to: "reroutes: plan.reroutes + 1,\n            revision,\n            route,\n            service: plan.service,",
    },
    {
        file: "src/transport/sessions/SessionConstants.ts",
        from: "export const NEIGHBOUR_PING_INTERVAL_MS = 1_500;",
        name: "neighbours are pinged every 6 s",
        to: "export const NEIGHBOUR_PING_INTERVAL_MS = 6_000;",
    },
    {
        file: GOSSIP,
        from: "ageMs: report.ageMs + transitMs",
        name: "the transit of a report on a watch isn't counted",
        to: "ageMs: report.ageMs",
    },
    {
        file: GOSSIP,
        from: "watches: watches.filter(({ isWorking }) => !isWorking)",
        name: "a report of unknown transit counts as instant",
        to: "watches",
    },
    {
        file: GOSSIP,
        from: "{ ...status, confirmation: undefined,",
        name: "a confirmation of unknown transit counts as instant",
        to: "{ ...status,",
    },
    {
        file: MANAGER,
        from: "this.#watchers.recordOwnWatch(reading.at);",
        name: "the own watch is as young as the reading of an answer",
        to: "this.#watchers.recordOwnWatch(options.now());",
    },
    {
        file: MANAGER,
        from: "if (this.#configuration === undefined && !this.#isRegionKnown(now)) {",
        name: "the age begins anew until the records were read",
        to: "if (!this.#isRegionKnown(now)) {",
    },
    {
        file: MANAGER,
        from: "return (this.#isConfirmationMissing || this.#isRegionKnown(now))",
        name: "nobody takes over before the records were read",
        to: "return this.#isRegionKnown(now)",
    },
    {
        file: MANAGER,
        from: "now - Math.max(0, confirmation.ageMs)",
        name: "a confirmation counts from its arrival",
        to: "now",
    },
    {
        file: LAG,
        from: "if (this.isSuperseded) {\n            return false;",
        name: "a superseded version decides when there are no sources",
        to: "if (this.isSuperseded && sources.length > 0) {\n            return false;",
    },
    {
        file: WATCHERS,
        from: "export const WATCHERS_PER_SMALL_REGION = 2;",
        name: "one daemon of a small region watches",
        to: "export const WATCHERS_PER_SMALL_REGION = 1;",
    },
    {
        file: WATCHERS,
        from: "rounds.set(id, round);",
        name: "the watchers of a region may share a failure domain",
        to: "rounds.set(id, 0);",
    },
    {
        file: WATCHERS,
        from: "place - lost.length + 1",
        name: "lost watches still delay the turn of those behind them",
        to: "place + 1",
    },
    {
        file: FOLLOWER,
        from: "at: startedAt,\n",
        name: "a watch without a version counts from its answer",
        to: "at: now(),\n",
    },
    {
        file: FOLLOWER,
        from: "return this.#recordAnswer(result.map(addTime(startedAt)), startedAt);",
        name: "a check counts from its answer",
        to: "return this.#recordAnswer(result.map(addTime(now())), startedAt);",
    },
    {
        file: LAG,
        from: "newer: this.#addNewer(before?.newer ?? [],",
        name: "the newer versions of a daemon are forgotten when it names another one",
        to: "newer: this.#addNewer([],",
    },
    {
        file: LAG,
        from: "return further < 0 || now",
        name: "the word of a daemon that doesn't answer queries is taken for ever",
        to: "return further < 9_999 || now",
    },
    {
        file: RESOLVER,
        from: "return version >= lowest;",
        name: "an answer of any version is usable for a route",
        to: "return version > 0;",
    },
    {
        file: RESOLVER,
        from: "isNew && configuration.version >= lowest && !lag.isSuperseded",
        name: "the arriving copy decides although a newer version has decided",
        to: "isNew",
    },
    {
        file: REQUEST,
        from: "Math.max(0, this.#plan.deadlineAt - now) + DEADLINE_GRACE_MS,",
        name: "requests wait 1 s beyond their deadline",
        to: "Math.max(0, this.#plan.deadlineAt - now) + DEADLINE_GRACE_MS + 1_000,",
    },
    {
        file: REQUEST,
        from: "if (isRepeatable(this.#plan.route.kind)) {\n            this.#retryOrComplete(detail, \"unknown\");",
        name: "a request that may run once is repeated after an unknown outcome",
        to: "if (this.#plan.route.name !== \"\") {\n            this.#retryOrComplete(detail, \"unknown\");",
    },
    {
        file: REQUEST,
        from: "const hasReachedServer = this.#attempts.openCount > 0 || this.#attempts.serversReached > 0;",
        name: "a request that has reached a server is routed anew",
        to: "const hasReachedServer = this.#attempts.openCount > 0;",
    },
    {
        file: "src/transport/timers/AgeClock.ts",
        from: "if (lostMs <= TOLERANCE_MS) {",
        name: STEADY_AGES,
        to: "if (lostMs <= Infinity) {",
    },
    {
        file: RESOLVER,
        from: "const state = lease.check(configuration.version, now());",
        name: NO_LEASE,
        to: "const state = lease === undefined ? now() : LeaseState.Valid;",
    },
];
