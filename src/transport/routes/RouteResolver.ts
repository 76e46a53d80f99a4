/**
 * Finds the routes of requests: by the own version of the configuration, or by that of another daemon while the own one is
 * outdated. Decisions never go back to an older version.
 */
import type { DecisionAges, VersionLag } from "../../coordination/distribution/index.js";
import { Access, computeAccess, findKeyFinding, isDenied } from "../../coordination/tenants/index.js";
import type { KeyFinding } from "../../coordination/tenants/index.js";
import { findRoute } from "../../state/traffic/index.js";
import type { RoutePolicy, TrafficConfiguration } from "../../state/traffic/index.js";
import { LeaseState, RenewalOutcome } from "../directory/index.js";
import type { VersionLease } from "../directory/index.js";
import type { PartLogger } from "../logging/index.js";
import type { RouteAnswer, RouteQueries } from "./RouteQueries.js";

/** How a version decides on a request. */
export interface RouteDecision extends KeyFinding {
    readonly version: number;
    readonly revision: number;
    /** Undefined when the version has no route for the request. */
    readonly route: RoutePolicy | undefined;
    /** Time since no newer version was known to be in the store; undefined while that wasn't known. */
    readonly confirmedAgeMs: number | undefined;
    /** Whether the request may be served by what the version says of its key; only for requests with a route. */
    readonly access?: Access | undefined;
}

/** A request whose route is asked for. */
export interface RouteQuestion {
    readonly requestId: string;
    readonly host: string | undefined;
    /** Without the query. */
    readonly path: string;
    /** Time for which the caller waits for the answer; undefined when it isn't known. */
    readTimeLeftMs(): number | undefined;
    /** Key of the caller's tenant; undefined when the request has none. */
    readonly key?: string | undefined;
    /** Whether it is a call of a running request, which needs no key. */
    readonly isNested?: boolean | undefined;
}

/** A daemon that can be reached, the nearer the lower its distance. */
export interface RouteSource {
    readonly id: string;
    readonly distance: number;
}

export interface RouteResolverOptions {
    readonly ages: DecisionAges;
    readonly lag: VersionLag;
    readonly lease: Pick<VersionLease, "awaitRenewal" | "check" | "readAgeMs" | "readNewest">;
    readonly log: PartLogger;
    readonly queries: RouteQueries;
    readonly now: () => number;
    readonly random: () => number;
    /** Time after which no request runs whose key was taken away; undefined when keys are decided like routes. */
    readonly revocationDeadlineMs?: number | undefined;
    listReachable(): readonly RouteSource[];
    readConfiguration(): TrafficConfiguration | undefined;
}

type ResolvedRoute = Omit<RouteDecision, "access" | "confirmedAgeMs">;

/** Rounds of queries for a request whose route no answer names, while newer versions become known. */
const MAXIMUM_ROUNDS = 3;
/** Share of the caller's time for which a request waits for a renewal; the rest is for its server. */
const RENEWAL_WAIT_SHARE = 0.5;
/** Longest such wait of a request whose caller doesn't name its time. */
const RENEWAL_WAIT_MS = 1_000;

export class RouteResolver {
    readonly #options: RouteResolverOptions;
    /** Own version at the last warning, so that each is reported once. */
    #reportedVersion: number | undefined;
    #unresolved = 0;

    constructor(options: RouteResolverOptions) {
        this.#options = options;
    }

    /** Requests since the start for which no version was new enough to decide. */
    get unresolvedRequests(): number {
        return this.#unresolved;
    }

    /** Finds the route of a request; undefined when no version that may decide could be asked. */
    resolveRoute(question: RouteQuestion): RouteDecision | undefined | Promise<RouteDecision | undefined> {
        const resolved = this.#resolve(question);
        return resolved instanceof Promise
            ? resolved.then(found => this.#complete(question, found))
            : this.#complete(question, resolved);
    }

    /** Completes a decision; one whose version is too old for the request's key waits for a confirmation once. */
    #complete(
        question: RouteQuestion,
        resolved: ResolvedRoute | undefined,
    ): RouteDecision | undefined | Promise<RouteDecision | undefined> {
        if (resolved === undefined) {
            return undefined;
        }
        const decision = this.#recordDecision(question, resolved);
        const { lease, now, readConfiguration } = this.#options;
        const own = readConfiguration()?.version;
        const canWait = decision.access === Access.Unconfirmed && own !== undefined
            && lease.check(own, now()) !== LeaseState.Unconfirmable;
        return canWait ? this.#decideAfterRenewal(question) : decision;
    }

    async #decideAfterRenewal(question: RouteQuestion): Promise<RouteDecision | undefined> {
        await this.#options.lease.awaitRenewal(computeRenewalWait(question));
        const resolved = await this.#resolve(question);
        return resolved === undefined ? undefined : this.#recordDecision(question, resolved);
    }

    #recordDecision(question: RouteQuestion, resolved: ResolvedRoute): RouteDecision {
        const { ages, lease, now, revocationDeadlineMs } = this.#options;
        const ageMs = lease.readAgeMs(resolved.version, now());
        const isNested = question.isNested === true;
        // A check may begin a renewal, which only a request that is to be denied needs.
        const isUnderLease = isDenied(resolved, isNested)
            && lease.check(resolved.version, now()) === LeaseState.Valid;
        const access = computeAccess(resolved, isNested, { ageMs, isUnderLease }, revocationDeadlineMs);
        if (access !== Access.Unconfirmed) {
            ages.record(ageMs);
        }
        return { ...resolved, access, confirmedAgeMs: Number.isFinite(ageMs) ? ageMs : undefined };
    }

    #resolve(question: RouteQuestion): ResolvedRoute | undefined | Promise<ResolvedRoute | undefined> {
        const { lease, now, readConfiguration } = this.#options;
        const configuration = readConfiguration();
        if (configuration === undefined) {
            return undefined;
        }
        const state = lease.check(configuration.version, now());
        if (state === LeaseState.Valid) {
            return this.#resolveByOwn(question, configuration);
        }
        const { sources, version } = this.#findConfirmedSources(configuration.version);
        if (version !== undefined && sources.length > 0) {
            this.#reportOutdated(configuration.version);
            return this.#resolveElsewhere(question, sources, version);
        }
        // While nobody can confirm a version the own one decides, since callers need the service also then.
        return state === LeaseState.Expired
            ? this.#resolveAfterRenewal(question, configuration.version)
            : this.#resolveByOwn(question, configuration);
    }

    /** Decides by the own version, unless it is known to be outdated. */
    #resolveByOwn(
        question: RouteQuestion,
        configuration: TrafficConfiguration,
    ): ResolvedRoute | undefined | Promise<ResolvedRoute | undefined> {
        const { lag, now } = this.#options;
        const decision = findDecision(configuration, question);
        if (!lag.isBehind) {
            return decision;
        }
        const sources = this.#listSources(now());
        if (this.#isFinal(question, decision) && lag.mayDecide(sources, now())) {
            return decision;
        }
        this.#reportOutdated(configuration.version);
        return this.#resolveElsewhere(question, sources, lag.lowestSource);
    }

    /** Waits for a renewal of the lease, and decides by what it has confirmed, or by the own version if nobody has answered. */
    async #resolveAfterRenewal(question: RouteQuestion, own: number): Promise<ResolvedRoute | undefined> {
        const { lease, log, now, readConfiguration } = this.#options;
        const limitMs = computeRenewalWait(question);
        const outcome = await lease.awaitRenewal(limitMs);
        const configuration = readConfiguration();
        if (outcome === RenewalOutcome.OutOfTime || configuration === undefined) {
            this.#unresolved++;
            log.info("the version could not be confirmed in the time of a request.", {
                limitMs: Math.round(limitMs),
                requestId: question.requestId,
                version: own,
            });
            return undefined;
        }
        const { sources, version } = this.#findConfirmedSources(configuration.version);
        const isValid = lease.check(configuration.version, now()) === LeaseState.Valid;
        if (isValid || version === undefined || outcome === RenewalOutcome.Unanswered && sources.length === 0) {
            return await this.#resolveByOwn(question, configuration);
        }
        this.#reportOutdated(configuration.version);
        return await this.#resolveElsewhere(question, sources, version);
    }

    /** Finds the newest confirmed version, if it is newer than the own one, and the daemons that may decide by it. */
    #findConfirmedSources(own: number): { readonly version?: number; readonly sources: readonly string[]; } {
        const { lease, now } = this.#options;
        const newest = lease.readNewest(now());
        return newest === undefined || newest.version <= own
            ? { sources: [] }
            : { sources: this.#listSources(now(), newest.version), version: newest.version };
    }

    /**
     * An answer may be older than what has decided while it was on its way. Statuses 401 and 404 are final for callers, so
     * they aren't left to a version that is known to be replaced.
     */
    #isFinal(question: RouteQuestion, resolved: ResolvedRoute): boolean {
        const { lag, now } = this.#options;
        const isRejected = resolved.route === undefined || isDenied(resolved, question.isNested === true);
        return resolved.version >= (isRejected ? lag.readNewestBelieved(now()) : lag.lowestDeciding);
    }

    /** Asks other daemons for the route by a version that isn't older than `lowest`. */
    async #resolveElsewhere(
        question: RouteQuestion,
        firstSources: readonly string[],
        lowest: number,
    ): Promise<ResolvedRoute | undefined> {
        const { lag, now } = this.#options;
        let sources = firstSources;
        for (let round = 0; round < MAXIMUM_ROUNDS; round++) {
            const decision = await this.#fetchDecision(question, sources, Math.max(lowest, lag.lowestSource));
            if (decision === undefined || this.#isFinal(question, decision)) {
                return decision;
            }
            sources = this.#listSources(now(), Math.max(lowest, lag.readNewestBelieved(now())));
        }
        this.#unresolved++;
        this.#options.log.info("newer versions became known while the route of a request was asked for.", {
            newestKnown: lag.newestKnown,
            requestId: question.requestId,
        });
        return undefined;
    }

    /** Gets a decision from one of some daemons, or by the own version if it has changed meanwhile. */
    async #fetchDecision(
        question: RouteQuestion,
        sources: readonly string[],
        lowest: number,
    ): Promise<ResolvedRoute | undefined> {
        const { lag, log, now, queries, readConfiguration } = this.#options;
        const { host = "", key, path, requestId } = question;
        const own = readConfiguration()?.version;
        const isUsable = ({ source, version }: RouteAnswer): boolean => {
            lag.recordAnswer(source);
            lag.recordPeer(source, version, now());
            return version >= lowest;
        };
        const answer = await queries.fetchRoute({ host, key, path }, sources, isUsable);
        const configuration = readConfiguration();
        const isNew = configuration !== undefined && configuration.version !== own;
        if (isNew && configuration.version >= lowest && !lag.isSuperseded) {
            // The copy has arrived meanwhile.
            return findDecision(configuration, question);
        }
        if (answer === undefined) {
            this.#unresolved++;
            log.info("no other daemon has told the route of a request.", { own, requestId, sources });
            return undefined;
        }
        if (!this.#isFinal(question, answer)) {
            return answer;
        }
        lag.requireVersion(answer.version, now());
        log.info(`version ${answer.version} of ${answer.source} decides on a request.`, {
            behindMs: Math.round(lag.readBehindMs(now()) ?? 0),
            own,
            peer: answer.source,
            requestId,
            route: answer.route?.name,
            version: answer.version,
        });
        return answer;
    }

    /** Daemons whose versions may decide: the nearest first, at random among equals. */
    #listSources(now: number, lowest?: number): readonly string[] {
        const { lag, listReachable, random } = this.#options;
        return lag.listSources(listReachable(), now, lowest)
            .map(({ distance, id }) => ({ distance, id, order: random() }))
            .sort((left, right) => left.distance - right.distance || left.order - right.order)
            .map(({ id }) => id);
    }

    #reportOutdated(version: number): void {
        if (this.#reportedVersion !== version) {
            this.#reportedVersion = version;
            const { lag, log, now } = this.#options;
            log.warn(`version ${version} is outdated; other daemons are asked for the routes of requests.`, {
                behindMs: Math.round(lag.readBehindMs(now()) ?? 0),
                newestKnown: lag.newestKnown,
                version,
            });
        }
    }
}

function findDecision(configuration: TrafficConfiguration, { host, key, path }: RouteQuestion): ResolvedRoute {
    const { revision, version } = configuration;
    const route = findRoute(configuration, host, path);
    return { ...findKeyFinding(configuration, route, key), revision, route, version };
}

/** Time for which a request may wait for a renewal. */
function computeRenewalWait(question: RouteQuestion): number {
    const timeLeftMs = question.readTimeLeftMs();
    return timeLeftMs === undefined ? RENEWAL_WAIT_MS : timeLeftMs * RENEWAL_WAIT_SHARE;
}
