/** Hedging by one daemon: its settings, its budget, and what it knows of the latencies of routes. */
import {
    computeHedgeDelay,
    HedgeBudget,
    HedgeObstacle,
    RouteLatencies,
    selectHedge,
} from "../../coordination/hedging/index.js";
import type { HedgeQuery, HedgeSelection, HedgeSettings } from "../../coordination/hedging/index.js";
import { isRepeatable } from "../../state/traffic/index.js";
import type { RoutePolicy } from "../../state/traffic/index.js";
import type { PartLogger } from "../logging/index.js";
import type { Owner, ServerDirectory } from "./ServerDirectory.js";

export interface HedgeManagerOptions {
    readonly directory: Pick<ServerDirectory, "listCandidates">;
    readonly log: PartLogger;
    readonly now: () => number;
    readonly random: () => number;
    readSettings(): HedgeSettings;
    /** Takes one hedge from the service's retry budget; false when none is left to hedges. */
    takeHedge(service: string): boolean;
}

const NO_OWNERS: ReadonlySet<string> = new Set();

export class HedgeManager {
    readonly #options: HedgeManagerOptions;
    readonly #budget = new HedgeBudget();
    readonly #latenciesByRoute = new Map<string, RouteLatencies>();
    #unknownRoutes = "";

    constructor(options: HedgeManagerOptions) {
        this.#options = options;
    }

    /** Hedges for each repeatable request, by the present settings. */
    get share(): number {
        return this.#options.readSettings().share;
    }

    /** Hedges that the budget allows now; negative after calls of repeated requests. */
    readTokens(): number {
        return this.#budget.readTokens(this.#options.now());
    }

    getLatencies(route: string): RouteLatencies {
        let latencies = this.#latenciesByRoute.get(route);
        if (latencies === undefined) {
            latencies = new RouteLatencies();
            this.#latenciesByRoute.set(route, latencies);
        }
        return latencies;
    }

    /** Drops what is known of routes that a new version has removed, and reports excluded routes that it doesn't have. */
    applyRoutes(names: ReadonlySet<string>): void {
        for (const name of this.#latenciesByRoute.keys()) {
            if (!names.has(name)) {
                this.#latenciesByRoute.delete(name);
            }
        }
        const unknownRoutes = this.#options.readSettings().excludedRoutes.filter(name => !names.has(name)).join(", ");
        if (unknownRoutes !== this.#unknownRoutes && unknownRoutes !== "") {
            this.#options.log.warn(`routes that must not be hedged are not in the configuration: ${unknownRoutes}.`, {
                unknownRoutes,
            });
        }
        this.#unknownRoutes = unknownRoutes;
    }

    /** Records a caller's request; calls of running requests don't raise the budget, as with retries. */
    recordRequest({ kind }: RoutePolicy): void {
        const { share } = this;
        if (share > 0 && isRepeatable(kind)) {
            this.#budget.recordRequest(share, this.#options.now());
        }
    }

    /** Records a call of a request that runs again. */
    recordRepeatedCall(): void {
        if (this.share > 0) {
            this.#budget.recordRepeatedCall(this.#options.now());
        }
    }

    /** Time after which a request is hedged; undefined when its route is not hedged. */
    computeDelay(route: RoutePolicy): number | undefined {
        return !isRepeatable(route.kind)
            ? undefined
            : computeHedgeDelay(this.#options.readSettings(), route.name, this.getLatencies(route.name).distribution);
    }

    /** Selects a server for a hedge and takes it from both budgets, or returns the obstacle. */
    selectHedge(service: string, excluded: ReadonlySet<string>, query: HedgeQuery<Owner>): HedgeSelection<Owner> {
        const { directory, now, random, takeHedge } = this.#options;
        const at = now();
        const selection = selectHedge(directory.listCandidates(service, NO_OWNERS, at), excluded, query, at, random);
        if (selection.placement === undefined) {
            return selection;
        }
        if (!this.#budget.isAvailable(at)) {
            return { obstacle: HedgeObstacle.Budget };
        }
        if (!takeHedge(service)) {
            return { obstacle: HedgeObstacle.RetryBudget };
        }
        this.#budget.take(at);
        return selection;
    }
}
