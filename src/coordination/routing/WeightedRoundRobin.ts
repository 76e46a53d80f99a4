import type { RoutePolicy } from "../../state/traffic/index.js";

/**
 * Distributes a route's requests over its targets by smooth weighted round robin, so that the shares
 * hold in any short sequence of requests. A target without a free server keeps its share.
 */
export class WeightedRoundRobin {
    #currentWeightsByRoute = new Map<string, Map<string, number>>();

    /** Selects the service for the route's next request; undefined when no target has a positive weight. */
    selectService(route: RoutePolicy): string | undefined {
        const [only] = route.targets;
        if (route.targets.length <= 1) {
            return only?.service;
        }
        const key = `${route.name} ${route.targets.map(({ service, weight }) => `${service}=${weight}`).join(" ")}`;
        let currentWeights = this.#currentWeightsByRoute.get(key);
        if (currentWeights === undefined) {
            currentWeights = new Map(route.targets.map(({ service }) => [service, 0]));
            this.#currentWeightsByRoute.set(key, currentWeights);
        }
        let total = 0;
        let selected: string | undefined;
        let highest = -Infinity;
        for (const { service, weight } of route.targets) {
            total += weight;
            const currentWeight = (currentWeights.get(service) ?? 0) + weight;
            currentWeights.set(service, currentWeight);
            if (weight > 0 && currentWeight > highest) {
                highest = currentWeight;
                selected = service;
            }
        }
        if (selected !== undefined) {
            currentWeights.set(selected, highest - total);
        }
        return selected;
    }

    /** Discards the current weights, for example after a configuration change. */
    reset(): void {
        this.#currentWeightsByRoute = new Map();
    }
}
