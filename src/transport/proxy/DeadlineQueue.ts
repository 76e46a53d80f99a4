import { DEADLINE_RESOLUTION_MS } from "./ProxyConstants.js";

/** Called once, when its deadline has passed. */
export type ExpiryListener = () => void;

/**
 * Calls listeners when their deadlines pass. All deadlines share one timer, since a timer for each request costs
 * more than the request's other bookkeeping. Deadlines are rounded up to a multiple of `DEADLINE_RESOLUTION_MS`.
 */
export class DeadlineQueue {
    readonly #now: () => number;
    readonly #buckets = new Map<number, Set<ExpiryListener>>();
    #timer: NodeJS.Timeout | undefined;
    #timerBucket = Number.POSITIVE_INFINITY;

    constructor(now: () => number) {
        this.#now = now;
    }

    /** Registers a listener and returns a function that removes it. */
    register(at: number, listener: ExpiryListener): () => void {
        const key = Math.ceil(at / DEADLINE_RESOLUTION_MS);
        let bucket = this.#buckets.get(key);
        if (bucket === undefined) {
            bucket = new Set();
            this.#buckets.set(key, bucket);
        }
        bucket.add(listener);
        if (key < this.#timerBucket) {
            this.#startTimer(key);
        }
        return () => {
            const registered = this.#buckets.get(key);
            if (registered?.delete(listener) === true && registered.size === 0) {
                this.#buckets.delete(key);
            }
        };
    }

    stop(): void {
        clearTimeout(this.#timer);
        this.#buckets.clear();
    }

    #startTimer(key: number): void {
        clearTimeout(this.#timer);
        this.#timerBucket = key;
        this.#timer = setTimeout(() => {
            this.#expireDue();
        }, Math.max(0, key * DEADLINE_RESOLUTION_MS - this.#now()));
        this.#timer.unref();
    }

    #expireDue(): void {
        this.#timerBucket = Number.POSITIVE_INFINITY;
        const currentKey = this.#now() / DEADLINE_RESOLUTION_MS;
        let next = Number.POSITIVE_INFINITY;
        const due: Set<ExpiryListener>[] = [];
        for (const [key, bucket] of this.#buckets) {
            if (key <= currentKey) {
                this.#buckets.delete(key);
                due.push(bucket);
            }
            else {
                next = Math.min(next, key);
            }
        }
        if (next < Number.POSITIVE_INFINITY) {
            this.#startTimer(next);
        }
        for (const bucket of due) {
            for (const listener of bucket) {
                listener();
            }
        }
    }
}
