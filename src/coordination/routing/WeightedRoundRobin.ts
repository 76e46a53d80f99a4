import type { RoutePolicy } from "../../state/traffic/index.js";

/**
 * Divides a route's requests between its targets by smooth weighted round robin, so that the shares
 * hold in any short run of requests. A target without a free server keeps its share.
 */
export class WeightedRoundRobin {
    #currentWeightsByRoute = new Map<string, Map<string, number>>();

    /** Chooses the service of the route's next request; undefined when no target has a weight. */
    selectService(route: RoutePolicy): string | undefined {
        const [only] = route.targets;
        if (route.targets.length <= 1) {
            return only?.service;
        }
        const key = `${route.name} ${route.targets.map(({ service, weight }) => `${service}=${weight}`).join(" ")}`;
        let balances = this.#currentWeightsByRoute.get(key);
        if (balances === undefined) {
            balances = new Map(route.targets.map(({ service }) => [service, 0]));
            this.#currentWeightsByRoute.set(key, balances);
        }
        let total = 0;
        let chosen: string | undefined;
        let highest = -Infinity;
        for (const { service, weight } of route.targets) {
            total += weight;
            const balance = (balances.get(service) ?? 0) + weight;
            balances.set(service, balance);
            if (weight > 0 && balance > highest) {
                highest = balance;
                chosen = service;
            }
        }
        if (chosen !== undefined) {
            balances.set(chosen, highest - total);
        }
        return chosen;
    }

    /** Drops the balances, for example after the configuration changed. */
    reset(): void {
        this.#currentWeightsByRoute = new Map();
    }
}
