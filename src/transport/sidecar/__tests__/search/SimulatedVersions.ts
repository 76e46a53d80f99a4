/** Versions of a simulated mesh: each moves, splits, adds and drops routes, so that a run or a 404 tells which ones allow it. */
import { findRoute, RequestKind } from "../../../../state/traffic/index.js";
import type { RoutePolicy, RouteTarget, ServicePolicy, TrafficConfiguration } from "../../../../state/traffic/index.js";

export const HOST = "mesh.example";
/** Moves to another service with each version. */
export const MOVING_PATH = "/moving/";
/** Its weights change with each version; some are 0. */
export const SPLIT_PATH = "/split/";
/** Its requests take longer than its timeout. */
export const SLOW_PATH = "/slow/";
/** Its requests may run once. */
export const ONCE_PATH = "/once/";
const MAXIMUM_SERVICES = 4;
/** Weights of the first of two services, by the number of the version. */
const FIRST_WEIGHTS = [20, 100, 50, 0, 80] as const;
/** Timeouts of `SLOW_PATH`, by the number of the version. */
const SLOW_TIMEOUTS_MS = [300, 600] as const;
const TIMEOUT_MS = 2_000;
const TARGET_LATENCY_MS = 500;

/** What became of a request: the service that ran it, or undefined if it was answered with 404. */
export type RequestOutcome = string | undefined;

export function countServices(daemons: number): number {
    return Math.max(1, Math.min(MAXIMUM_SERVICES, Math.floor(daemons / 2)));
}

export function formatService(index: number): string {
    return `s${index}`;
}

/** Path of a route that was added with a version, and of one that exists in the versions before it. */
export function formatAddedPath(version: number): string {
    return `/from-${version}/`;
}

export function formatDroppedPath(version: number): string {
    return `/until-${version}/`;
}

/** Version with which the route of a path was added; undefined for others. */
export function parseAddedPath(path: string): number | undefined {
    const digits = /^\/from-(\d+)\//.exec(path)?.[1];
    return digits === undefined ? undefined : Number(digits);
}

export class SimulatedVersions {
    readonly #services: readonly string[];
    /** Number of the newest version that is ever written. */
    readonly #last: number;
    readonly #configurations = new Map<number, TrafficConfiguration>();

    constructor(daemons: number, last: number) {
        this.#services = Array.from({ length: countServices(daemons) }, (_, index) => formatService(index));
        this.#last = last;
    }

    read(version: number): TrafficConfiguration {
        let configuration = this.#configurations.get(version);
        if (configuration === undefined) {
            configuration = this.#createConfiguration(version);
            this.#configurations.set(version, configuration);
        }
        return configuration;
    }

    findRoute(version: number, path: string): RoutePolicy | undefined {
        return findRoute(this.read(version), HOST, path);
    }

    /** Whether a version allows what became of a request. */
    isAllowed(version: number, path: string, outcome: RequestOutcome): boolean {
        const route = this.findRoute(version, path);
        return outcome === undefined
            ? route === undefined
            : route?.targets.some(({ service, weight }) => service === outcome && weight > 0) === true;
    }

    /** Share of a route's requests that a version leads to a service. */
    computeShare(version: number, path: string, service: string): number {
        const targets = this.findRoute(version, path)?.targets ?? [];
        const total = targets.reduce((sum, { weight }) => sum + weight, 0);
        return targets.filter(other => other.service === service).reduce((sum, { weight }) => sum + weight, 0) / total;
    }

    #createConfiguration(version: number): TrafficConfiguration {
        const select = (index: number): RouteTarget[] => [
            { service: this.#services[index % this.#services.length] as string, weight: 1 },
        ];
        const firstWeight = FIRST_WEIGHTS[version % FIRST_WEIGHTS.length] as number;
        const numbers = Array.from({ length: this.#last }, (_, index) => index + 1);
        const routes = [
            createRoute(MOVING_PATH, select(version)),
            createRoute(
                SPLIT_PATH,
                this.#services.length === 1 ? select(0) : [
                    { service: this.#services[0] as string, weight: firstWeight },
                    { service: this.#services[1] as string, weight: 100 - firstWeight },
                ],
            ),
            createRoute(SLOW_PATH, this.#services.map(service => ({ service, weight: 1 })), {
                timeoutMs: SLOW_TIMEOUTS_MS[version % SLOW_TIMEOUTS_MS.length] as number,
            }),
            createRoute(ONCE_PATH, select(version + 1), { kind: RequestKind.AtMostOnce }),
            ...numbers.filter(added => added <= version).map(added =>
                createRoute(formatAddedPath(added), select(added))
            ),
            ...numbers.filter(dropped => dropped > version).map(dropped =>
                createRoute(formatDroppedPath(dropped), select(dropped))
            ),
        ];
        const createService = (name: string): ServicePolicy => ({
            healthPath: "/health",
            maximumConnections: 100,
            name,
        });
        return {
            limits: { bodyBytes: 1, headerBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
            revision: version,
            routesByHost: new Map([[HOST, routes]]),
            services: new Map(this.#services.map(name => [name, createService(name)])),
            version,
        };
    }
}

function createRoute(
    pathPrefix: string,
    targets: readonly RouteTarget[],
    changes: Partial<RoutePolicy> = {},
): RoutePolicy {
    return {
        kind: RequestKind.Idempotent,
        maximumServers: 3,
        name: pathPrefix,
        pathPrefix,
        priority: 1,
        targetLatencyMs: TARGET_LATENCY_MS,
        targets,
        timeoutMs: TIMEOUT_MS,
        ...changes,
    };
}
