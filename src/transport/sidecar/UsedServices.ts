import type { TrafficConfiguration } from "../../state/traffic/index.js";

/** Number of services up to which sessions are opened before the first request. */
const MAXIMUM_PREPARED_SERVICES = 16;

/** Services for which sessions are kept: those of the callers' requests, and all while they are few. */
export class UsedServices {
    readonly #used = new Set<string>();

    add(service: string): void {
        this.#used.add(service);
    }

    list(configuration: TrafficConfiguration | undefined): Iterable<string> {
        return configuration !== undefined && configuration.services.size <= MAXIMUM_PREPARED_SERVICES
            ? new Set([...configuration.services.keys(), ...this.#used])
            : this.#used;
    }
}
