/**
 * Divides the slots of a server among tenants: within one urgency class, the tenant that has started least work since it
 * began to wait is next, so that slots are shared max-min fairly by work time. It is deficit round robin with a quantum
 * as small as can be: the deficit is the work that a tenant has started more than others.
 *
 * Load pattern: one tenant sends a multiple of what it usually does, to servers that others use as well. Without shares,
 * each tenant is refused in proportion to all requests.
 */

interface UrgencyClass {
    /** Work that waiting tenants have started, in milliseconds, from a common beginning. */
    readonly startedMs: Map<string, number>;
    /** Value of the tenant that was served last, at which tenants begin that had nothing waiting. */
    servedAtMs: number;
}

/** Name under which requests without a tenant are counted. */
const NO_TENANT = "";

export class TenantShares {
    readonly #classes = new Map<string, UrgencyClass>();

    /**
     * Arranges requests, which are in service order, so that tenants take turns within each run of one class. Requests of
     * one tenant keep their order.
     */
    sort<T>(
        requests: readonly T[],
        getClass: (request: T) => string,
        getTenant: (request: T) => string | undefined,
        getWorkMs: (request: T) => number,
    ): T[] {
        if (requests.every(request => getTenant(request) === undefined)) {
            return [...requests];
        }
        const runs = new Map<string, T[]>();
        for (const request of requests) {
            const run = runs.get(getClass(request)) ?? [];
            run.push(request);
            runs.set(getClass(request), run);
        }
        for (const name of this.#classes.keys()) {
            if (!runs.has(name)) {
                this.#classes.delete(name);
            }
        }
        return [...runs].flatMap(([name, run]) => this.#sortClass(name, run, getTenant, getWorkMs));
    }

    /** Records that a request was started. */
    recordStart(className: string, tenant: string | undefined, workMs: number): void {
        const urgencyClass = this.#classes.get(className);
        if (urgencyClass !== undefined) {
            const name = tenant ?? NO_TENANT;
            const startedMs = urgencyClass.startedMs.get(name) ?? urgencyClass.servedAtMs;
            urgencyClass.startedMs.set(name, startedMs + workMs);
            urgencyClass.servedAtMs = Math.max(urgencyClass.servedAtMs, startedMs);
        }
    }

    /** Forgets what was started, once nothing waits. */
    reset(): void {
        this.#classes.clear();
    }

    #sortClass<T>(
        name: string,
        run: readonly T[],
        getTenant: (request: T) => string | undefined,
        getWorkMs: (request: T) => number,
    ): readonly T[] {
        const urgencyClass = this.#classes.get(name) ?? { servedAtMs: 0, startedMs: new Map<string, number>() };
        this.#classes.set(name, urgencyClass);
        const queues = new Map<string, T[]>();
        for (const request of run) {
            const tenant = getTenant(request) ?? NO_TENANT;
            const queue = queues.get(tenant) ?? [];
            queue.push(request);
            queues.set(tenant, queue);
        }
        for (const [tenant, startedMs] of urgencyClass.startedMs) {
            // A tenant with nothing waiting saves no share for later, and keeps what it has started more than others.
            if (!queues.has(tenant) && startedMs <= urgencyClass.servedAtMs) {
                urgencyClass.startedMs.delete(tenant);
            }
        }
        for (const tenant of queues.keys()) {
            if (!urgencyClass.startedMs.has(tenant)) {
                urgencyClass.startedMs.set(tenant, urgencyClass.servedAtMs);
            }
        }
        return mergeByShare(queues, urgencyClass.startedMs, getWorkMs);
    }
}

/** Takes the next request of the tenant with the least started work, until none is left. */
function mergeByShare<T>(
    queues: ReadonlyMap<string, readonly T[]>,
    startedMs: ReadonlyMap<string, number>,
    getWorkMs: (request: T) => number,
): readonly T[] {
    const turns = [...queues].flatMap(([tenant, queue]) => {
        let atMs = startedMs.get(tenant) ?? 0;
        return queue.map(request => {
            const turn = { atMs, request };
            atMs += getWorkMs(request);
            return turn;
        });
    });
    // Equal turns keep the order of the tenants' first requests.
    return turns.sort((left, right) => left.atMs - right.atMs).map(({ request }) => request);
}
