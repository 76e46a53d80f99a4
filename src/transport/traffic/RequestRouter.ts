/** Decides to which service a request goes and by which limits, and forwards it; also again after a newer version. */
import { RouteStatistics } from "../../coordination/placement/index.js";
import { getPath, WeightedRoundRobin } from "../../coordination/routing/index.js";
import { Access } from "../../coordination/tenants/index.js";
import type { RoutePolicy, Tenant, TrafficConfiguration } from "../../state/traffic/index.js";
import type { PartLogger } from "../logging/index.js";
import type { OwnedRequest } from "../ownership/index.js";
import type { RouteDecision, RouteQuestion } from "../routes/index.js";
import type { CallerExchange } from "./CallerExchange.js";
import { answerClientError, answerOverQuota, answerUnavailable } from "./DaemonAnswers.js";
import type { AnsweredRequest } from "./DaemonAnswers.js";
import { ForwardedRequest } from "./ForwardedRequest.js";
import type { ForwardingContext, ForwardingPlan } from "./ForwardingPlan.js";
import { buildForwardedHeaders } from "./PlannedRequest.js";

export interface RequestRouterOptions extends Omit<ForwardingContext, "reroute"> {
    readonly log: PartLogger;
    /** Service that runs on this VM. */
    readonly readCallerService: () => string;
    /** Finds a request that the own backend server is running. */
    readonly findRunning: (requestId: string) => OwnedRequest | undefined;
    /** Counts a request towards its service's retry budget; a call of a running request doesn't raise it. */
    recordRequest(service: string, isNested: boolean): void;
    /** Counts a call of a request that runs again, which is a retry for the service that is called. */
    recordRetry(service: string): void;
    /** Finds the route of a request; undefined when no version that may decide could be asked. */
    resolveRoute(question: RouteQuestion): RouteDecision | undefined | Promise<RouteDecision | undefined>;
    /**
     * Takes a request from the limit of its tenant; returns the milliseconds after which to come back when it is used up.
     * Absent where limits aren't applied.
     */
    readonly takeQuota?: ((tenant: Tenant, now: number) => number | undefined) | undefined;
    /** Called when the owner of a server has a newer version, by which a decision of `version` is outdated. */
    recordOutdated(version: number): void;
}

/** A decision that names a route. */
export interface FoundRoute extends RouteDecision {
    readonly route: RoutePolicy;
}

/** A request that was read completely. */
export interface RoutableRequest {
    readonly arrivedAt: number;
    readonly requestId: string;
    /** Path and query. */
    readonly target: string;
    readonly decision: FoundRoute;
    readonly body: Uint8Array;
    /** Called once when the body is no longer needed. */
    readonly release: () => void;
}

const UNAUTHORIZED_STATUS = 401;
const NOT_FOUND_STATUS = 404;

export class RequestRouter {
    readonly #options: RequestRouterOptions;
    readonly #context: ForwardingContext;
    readonly #roundRobin = new WeightedRoundRobin();
    readonly #statisticsByRoute = new Map<string, RouteStatistics>();

    constructor(options: RequestRouterOptions) {
        this.#options = options;
        this.#context = {
            ...options,
            reroute: (plan, exchange, onComplete) => {
                void this.#reroute(plan, exchange, onComplete).catch((error: unknown) => {
                    options.log.error("request could not be routed anew for an internal error.", {
                        err: error,
                        requestId: plan.requestId,
                    });
                    exchange.resetConnection();
                    onComplete();
                });
            },
        };
    }

    /** Drops the statistics of routes that a new version has removed. */
    applyConfiguration({ routesByHost }: TrafficConfiguration): void {
        this.#roundRobin.reset();
        const names = new Set([...routesByHost.values()].flat().map(route => route.name));
        this.#options.hedging.applyRoutes(names);
        for (const name of this.#statisticsByRoute.keys()) {
            if (!names.has(name)) {
                this.#statisticsByRoute.delete(name);
            }
        }
    }

    /**
     * Finds the route of a request and the tenant of its key. If it can't be served, answers it and returns undefined. `plan`
     * is that of an earlier decision.
     */
    async decide(
        exchange: CallerExchange,
        requestId: string,
        target: string,
        plan?: ForwardingPlan,
    ): Promise<FoundRoute | undefined> {
        const { host } = exchange.request.headers;
        const { key, parentId, timeLeftMs } = this.#options.dialect.parseCallerHeaders(exchange.request.headers);
        const path = getPath(target);
        const pending = this.#options.resolveRoute({
            host,
            isNested: key === undefined && (plan?.isNested ?? this.#findParent(parentId) !== undefined),
            key,
            path,
            readTimeLeftMs: () => plan === undefined ? timeLeftMs : plan.callerDeadlineAt - this.#options.now(),
            requestId,
        });
        const decision = await pending;
        if (pending instanceof Promise && exchange.hasCallerLeft) {
            this.#options.log.info("request dropped: its caller has left.", { requestId });
            return undefined;
        }
        if (decision === undefined) {
            answerUnavailable(
                this.#options,
                exchange,
                { requestId },
                "the version in force on this daemon is outdated or unconfirmed, and no other daemon has told the route",
            );
            return undefined;
        }
        const { access = Access.Granted, confirmedAgeMs, revision, route, tenant, version } = decision;
        if (route === undefined) {
            const detail = `version ${version} has no route for ${host ?? "no host"} ${path}`;
            answerClientError(this.#options, exchange, { decision, requestId }, NOT_FOUND_STATUS, detail);
            return undefined;
        }
        const found = { confirmedAgeMs, revision, route, tenant, version };
        if (access === Access.Granted) {
            return found;
        }
        const isUnknownCall = key === undefined && parentId !== undefined;
        this.#answerWithoutAccess(exchange, { decision: found, requestId }, access, isUnknownCall);
        return undefined;
    }

    /** Answers 401, or 503 where a later or better informed decision may admit the request. */
    #answerWithoutAccess(
        exchange: CallerExchange,
        request: AnsweredRequest & { readonly decision: FoundRoute; },
        access: Access,
        isUnknownCall: boolean,
    ): void {
        const { route, version } = request.decision;
        const isFinal = access === Access.Denied && !isUnknownCall;
        const reason = isFinal ? "unauthorized" : "unconfirmed-key";
        this.#options.recorder.count({ class: route.name, kind: "refused", reason, service: undefined });
        if (isFinal) {
            const detail = `version ${version} has no tenant with the request's key`;
            answerClientError(this.#options, exchange, request, UNAUTHORIZED_STATUS, detail);
            return;
        }
        const detail = access === Access.Denied
            ? "the request has the id of a call, and the server of this daemon runs no such request"
            : `version ${version} isn't confirmed as the newest, and may not decide on the request's key`;
        answerUnavailable(this.#options, exchange, request, detail);
    }

    /** Forwards a request to a service of its route, unless its caller has left. */
    forward(exchange: CallerExchange, request: RoutableRequest): void {
        const { arrivedAt, body, decision, release, requestId, target } = request;
        const { route } = decision;
        const service = this.#roundRobin.selectService(route);
        if (exchange.hasCallerLeft) {
            this.#options.log.info("request dropped: its caller has left.", { requestId });
            release();
            return;
        }
        if (service === undefined) {
            answerUnavailable(this.#options, exchange, { decision, requestId }, `route ${route.name} has no service`);
            release();
            return;
        }
        if (this.#refuseOverQuota(exchange, request, service)) {
            release();
            return;
        }
        const callerHeaders = this.#options.dialect.parseCallerHeaders(exchange.request.headers);
        const budgetMs = callerHeaders.timeLeftMs ?? route.timeoutMs;
        const statistics = this.#getStatistics(route.name);
        const spentMs = statistics.recordTimeBudget(budgetMs, arrivedAt);
        const parent = this.#findParent(callerHeaders.parentId);
        this.#recordRequest(service, route, parent);
        const plan = {
            arrivedAt,
            body,
            callerDeadlineAt: arrivedAt + budgetMs,
            callerService: this.#options.readCallerService(),
            confirmedAgeMs: decision.confirmedAgeMs,
            deadlineAt: arrivedAt + Math.min(budgetMs, route.timeoutMs),
            headers: buildForwardedHeaders(exchange.request.rawHeaders, this.#options.dialect),
            isNested: parent !== undefined,
            isRetry: parent?.isRetry === true,
            latencies: this.#options.hedging.getLatencies(route.name),
            method: exchange.request.method ?? "",
            requestId,
            reroutes: 0,
            revision: decision.revision,
            route,
            service,
            statistics,
            target,
            targetAt: arrivedAt + route.targetLatencyMs - spentMs,
            tenant: decision.tenant,
            version: decision.version,
        };
        new ForwardedRequest(this.#context, plan, exchange, release).start();
    }

    /** Answers a request beyond the limit of its tenant; returns whether it did. */
    #refuseOverQuota(exchange: CallerExchange, request: RoutableRequest, service: string): boolean {
        const { takeQuota } = this.#options;
        const { decision: { tenant } } = request;
        const now = this.#options.now();
        const retryAfterMs = tenant === undefined ? undefined : takeQuota?.(tenant, now);
        if (tenant !== undefined && retryAfterMs !== undefined) {
            answerOverQuota(this.#options, exchange, { ...request, service, tenant }, retryAfterMs, now);
        }
        return retryAfterMs !== undefined;
    }

    /** Forwards a request anew, by the newer version that has led it away from the service of its plan. */
    async #reroute(plan: ForwardingPlan, exchange: CallerExchange, onComplete: () => void): Promise<void> {
        const { arrivedAt, callerDeadlineAt, requestId, target } = plan;
        this.#options.recordOutdated(plan.version);
        this.#options.log.info(`version ${plan.version} is outdated for a request, which is routed anew.`, {
            requestId,
            service: plan.service,
            version: plan.version,
        });
        const decision = await this.decide(exchange, requestId, target, plan);
        const service = decision === undefined ? undefined : this.#roundRobin.selectService(decision.route);
        if (decision === undefined || service === undefined) {
            if (decision !== undefined) {
                const detail = `route ${decision.route.name} has no service`;
                answerUnavailable(this.#options, exchange, { decision, requestId }, detail);
            }
            onComplete();
            return;
        }
        const { confirmedAgeMs, revision, route, tenant, version } = decision;
        this.#options.recordRequest(service, plan.isNested);
        const next = {
            ...plan,
            confirmedAgeMs,
            deadlineAt: Math.min(callerDeadlineAt, arrivedAt + route.timeoutMs),
            latencies: this.#options.hedging.getLatencies(route.name),
            reroutes: plan.reroutes + 1,
            revision,
            route,
            service,
            statistics: this.#getStatistics(route.name),
            targetAt: plan.targetAt + route.targetLatencyMs - plan.route.targetLatencyMs,
            tenant,
            version,
        };
        new ForwardedRequest(this.#context, next, exchange, onComplete).start();
    }

    #findParent(parentId: string | undefined): OwnedRequest | undefined {
        return parentId === undefined ? undefined : this.#options.findRunning(parentId);
    }

    #recordRequest(service: string, route: RoutePolicy, parent: OwnedRequest | undefined): void {
        this.#options.recordRequest(service, parent !== undefined);
        if (parent === undefined) {
            this.#options.hedging.recordRequest(route);
        }
        else if (parent.isRetry) {
            this.#options.recordRetry(service);
            this.#options.hedging.recordRepeatedCall();
        }
    }

    #getStatistics(route: string): RouteStatistics {
        let statistics = this.#statisticsByRoute.get(route);
        if (statistics === undefined) {
            statistics = new RouteStatistics();
            this.#statisticsByRoute.set(route, statistics);
        }
        return statistics;
    }
}
