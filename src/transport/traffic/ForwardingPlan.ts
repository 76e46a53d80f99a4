/** What a request of a caller needs to be forwarded. */
import type { RouteLatencies } from "../../coordination/hedging/index.js";
import type { RouteStatistics } from "../../coordination/placement/index.js";
import type { RequestRecorder } from "../../coordination/recording/index.js";
import type { Dialect } from "../../protocol/dialect/index.js";
import type { FingerprintSource } from "../../protocol/request/index.js";
import type { RoutePolicy, Tenant } from "../../state/traffic/index.js";
import type { OwnerRefusal } from "../ownership/index.js";
import type { Suspicion } from "../quarantine/index.js";
import type { CallerExposure } from "../rollouts/index.js";
import type { Timers } from "../timers/index.js";
import type { CallerExchange } from "./CallerExchange.js";
import type { HedgeManager } from "./HedgeManager.js";
import type { ServerDirectory } from "./ServerDirectory.js";

export interface ForwardingContext {
    readonly dialect: Dialect;
    readonly directory: ServerDirectory;
    readonly hedging: HedgeManager;
    readonly selfId: string;
    /** Limits requests to servers of versions on trial; undefined where there are no roll-outs. */
    readonly rollouts?: Pick<CallerExposure, "findBaseline" | "isAffected" | "selectTrial"> | undefined;
    readonly recorder: RequestRecorder;
    readonly now: () => number;
    readonly random: () => number;
    readonly timers: Timers;
    /** Takes one retry from the service's budget; false when the budget is exhausted. */
    takeRetry(service: string): boolean;
    /** Called with the size of an answer that came from another daemon. */
    recordRelayedAnswer(bytes: number): void;
    /** Returns why a request must not run, since it may crash servers; undefined for all others. */
    findRestriction(request: FingerprintSource): OwnerRefusal | undefined;
    /** Returns what is known of a request that was running when servers crashed; undefined for all others. */
    findSuspicion(request: FingerprintSource): Suspicion | undefined;
    /** Called when the known servers of a service can't serve a request in time. */
    widen(service: string): void;
    /** Takes over a request that was not run, since a newer version doesn't lead it to the service of its plan. */
    reroute(plan: ForwardingPlan, exchange: CallerExchange, onComplete: () => void): void;
}

/** Destination and limits of one request. */
export interface ForwardingPlan {
    readonly route: RoutePolicy;
    /** Version of the configuration that contains the route, and its revision in the store. */
    readonly version: number;
    readonly revision: number;
    /** Time since no newer version was known to be in the store, at the decision; undefined while that wasn't known. */
    readonly confirmedAgeMs: number | undefined;
    /** How often newer versions have led the request elsewhere. */
    readonly reroutes: number;
    readonly service: string;
    readonly requestId: string;
    readonly method: string;
    readonly target: string;
    readonly headers: readonly string[];
    readonly body: Uint8Array;
    readonly callerService: string;
    /** Tenant of the caller's key; undefined for requests without a key. */
    readonly tenant?: Tenant | undefined;
    readonly isNested: boolean;
    /** Whether it is a call of a request that may run for a second time. */
    readonly isRetry: boolean;
    readonly arrivedAt: number;
    /** Time until which an answer meets the target latency. */
    readonly targetAt: number;
    /** End of the route's timeout or the caller's deadline, whichever is first. */
    readonly deadlineAt: number;
    /** The caller's own deadline. */
    readonly callerDeadlineAt: number;
    readonly statistics: RouteStatistics;
    readonly latencies: RouteLatencies;
}
