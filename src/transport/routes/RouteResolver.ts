/**
 * Finds the routes of requests: by the own version of the configuration, or by that of another daemon while the own one is
 * outdated. Decisions never go back to an older version.
 */
import type { VersionLag } from "../../coordination/distribution/index.js";
import { findRoute } from "../../state/traffic/index.js";
import type { RoutePolicy, TrafficConfiguration } from "../../state/traffic/index.js";
import type { PartLogger } from "../logging/index.js";
import type { RouteAnswer, RouteQueries } from "./RouteQueries.js";

/** How a version decides on a request. */
export interface RouteDecision {
    readonly version: number;
    readonly revision: number;
    /** Undefined when the version has no route for the request. */
    readonly route: RoutePolicy | undefined;
}

/** A daemon that can be reached, the nearer the lower its distance. */
export interface RouteSource {
    readonly id: string;
    readonly distance: number;
}

export interface RouteResolverOptions {
    readonly lag: VersionLag;
    readonly log: PartLogger;
    readonly queries: RouteQueries;
    readonly now: () => number;
    readonly random: () => number;
    listReachable(): readonly RouteSource[];
    readConfiguration(): TrafficConfiguration | undefined;
}

/** Rounds of queries for a request whose route no answer names, while newer versions become known. */
const MAXIMUM_ROUNDS = 3;

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
    resolveRoute(
        requestId: string,
        host: string | undefined,
        path: string,
    ): RouteDecision | undefined | Promise<RouteDecision | undefined> {
        const { lag, now, readConfiguration } = this.#options;
        const configuration = readConfiguration();
        if (configuration === undefined) {
            return undefined;
        }
        const route = findRoute(configuration, host, path);
        const { revision, version } = configuration;
        if (!lag.isBehind) {
            return { revision, route, version };
        }
        const sources = this.#listSources(now());
        if (this.#isFinal({ revision, route, version }) && lag.mayDecide(sources, now())) {
            return { revision, route, version };
        }
        this.#reportOutdated(version);
        return this.#resolveElsewhere(requestId, host ?? "", path, sources);
    }

    /** Status 404 is final for callers, so it isn't left to a version that is known to be replaced. */
    #isFinal({ route, version }: RouteDecision): boolean {
        const { lag, now } = this.#options;
        return route !== undefined || version >= lag.readNewestBelieved(now());
    }

    async #resolveElsewhere(
        requestId: string,
        host: string,
        path: string,
        firstSources: readonly string[],
    ): Promise<RouteDecision | undefined> {
        const { lag, now } = this.#options;
        let sources = firstSources;
        for (let round = 0; round < MAXIMUM_ROUNDS; round++) {
            const decision = await this.#fetchDecision(requestId, host, path, sources);
            if (decision === undefined || this.#isFinal(decision)) {
                return decision;
            }
            sources = this.#listSources(now(), lag.readNewestBelieved(now()));
        }
        this.#unresolved++;
        this.#options.log.info("newer versions became known while the route of a request was asked for.", {
            newestKnown: lag.newestKnown,
            requestId,
        });
        return undefined;
    }

    /** Gets a decision from one of some daemons, or by the own version if it has changed meanwhile. */
    async #fetchDecision(
        requestId: string,
        host: string,
        path: string,
        sources: readonly string[],
    ): Promise<RouteDecision | undefined> {
        const { lag, log, now, queries, readConfiguration } = this.#options;
        const own = readConfiguration()?.version;
        const lowest = lag.lowestSource;
        const isUsable = ({ source, version }: RouteAnswer): boolean => {
            lag.recordAnswer(source);
            lag.recordPeer(source, version, now());
            return version >= lowest;
        };
        const answer = await queries.fetchRoute(host, path, sources, isUsable);
        const configuration = readConfiguration();
        if (configuration !== undefined && configuration.version !== own && !lag.isSuperseded) {
            // The copy has arrived meanwhile.
            const { revision, version } = configuration;
            return { revision, route: findRoute(configuration, host, path), version };
        }
        if (answer === undefined) {
            this.#unresolved++;
            log.info("no other daemon has told the route of a request.", { own, requestId, sources });
            return undefined;
        }
        if (!this.#isFinal(answer)) {
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
