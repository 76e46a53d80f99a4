/** Asks other daemons for the routes of requests, and answers such queries by the own version. */
import { computeQueryDigest, findDigestFinding } from "../../coordination/tenants/index.js";
import type { KeyFinding } from "../../coordination/tenants/index.js";
import type { GossipMessage, SessionMessageOf } from "../../protocol/session/index.js";
import { findRoute } from "../../state/traffic/index.js";
import type { RoutePolicy, TrafficConfiguration } from "../../state/traffic/index.js";
import { scheduleTimeout } from "../timers/index.js";
import type { Timers } from "../timers/index.js";

/** Time after which a second daemon is asked; above a round trip between regions. */
export const SECOND_QUERY_DELAY_MS = 60;
/** Time after which a query counts as unanswered. */
export const QUERY_TIMEOUT_MS = 250;
/** Queries that wait for answers at a time; a request that would exceed them is rejected. */
const MAXIMUM_OPEN_QUERIES = 1_000;

/** Route of a request by the version of another daemon. */
export interface RouteAnswer extends KeyFinding {
    readonly source: string;
    readonly version: number;
    readonly revision: number;
    /** Undefined when the version has no route for the request. */
    readonly route: RoutePolicy | undefined;
}

/** What other daemons are told of a request whose route is asked for. */
export interface QueriedRequest {
    readonly host: string;
    readonly path: string;
    /** Only its digest is sent. */
    readonly key: string | undefined;
}

export interface RouteQueriesOptions {
    readonly timers: Timers;
    send(id: string, message: GossipMessage): void;
    readConfiguration(): TrafficConfiguration | undefined;
    /** Called when a daemon has not answered a query in time. */
    onUnanswered(id: string): void;
}

interface OpenQuery {
    readonly waitingFor: Set<string>;
    accept(answer: RouteAnswer): void;
}

export class RouteQueries {
    readonly #options: RouteQueriesOptions;
    readonly #open = new Map<number, OpenQuery>();
    #lastQuery = 0;
    #sent = 0;

    constructor(options: RouteQueriesOptions) {
        this.#options = options;
    }

    /** Queries sent to other daemons since the start. */
    get sentQueries(): number {
        return this.#sent;
    }

    /**
     * Asks the first of `sources`, and after a short time the second one as well. Resolves with the first answer that
     * `isUsable` accepts; undefined after a timeout.
     */
    fetchRoute(
        { host, key, path }: QueriedRequest,
        sources: readonly string[],
        isUsable: (answer: RouteAnswer) => boolean,
    ): Promise<RouteAnswer | undefined> {
        const [first, second] = sources;
        if (first === undefined || this.#open.size >= MAXIMUM_OPEN_QUERIES) {
            return Promise.resolve(undefined);
        }
        const { timers } = this.#options;
        const keyDigest = computeQueryDigest(key);
        const query = ++this.#lastQuery;
        const waitingFor = new Set<string>();
        const ask = (id: string): void => {
            waitingFor.add(id);
            this.#sent++;
            this.#options.send(id, { host, keyDigest, kind: "routeQuery", path, query });
        };
        return new Promise(resolve => {
            const end = (answer: RouteAnswer | undefined): void => {
                cancelSecond();
                cancelTimeout();
                this.#open.delete(query);
                resolve(answer);
            };
            const cancelSecond = second === undefined
                ? () => undefined
                : timers.after(SECOND_QUERY_DELAY_MS, () => ask(second));
            const cancelTimeout = scheduleTimeout(timers, QUERY_TIMEOUT_MS, () => {
                waitingFor.forEach(id => this.#options.onUnanswered(id));
                end(undefined);
            });
            this.#open.set(query, {
                accept: answer => {
                    if (isUsable(answer)) {
                        end(answer);
                    }
                },
                waitingFor,
            });
            ask(first);
        });
    }

    answerQuery(id: string, { host, keyDigest, path, query }: SessionMessageOf<"routeQuery">): void {
        const configuration = this.#options.readConfiguration();
        if (configuration !== undefined) {
            const { revision, version } = configuration;
            const route = findRoute(configuration, host, path);
            const finding = findDigestFinding(configuration, route, keyDigest);
            this.#options.send(id, { ...finding, kind: "routeAnswer", query, revision, route, version });
        }
    }

    handleAnswer(
        id: string,
        { needsKey, query, revision, route, tenant, version }: SessionMessageOf<"routeAnswer">,
    ): void {
        const open = this.#open.get(query);
        if (open?.waitingFor.delete(id) === true) {
            open.accept({ needsKey, revision, route, source: id, tenant, version });
        }
    }
}
