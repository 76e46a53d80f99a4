/**
 * Decides which request gets the next slot of a backend server, and which are turned away.
 *
 * Load pattern: bursts above the server's capacity, by requests that differ in urgency, and by calls
 * for which a request that already holds a slot elsewhere is waiting.
 */
import type { WorkEstimates } from "./WorkEstimates.js";

/** A request that asks for a slot. Times are on the scale of `now`, milliseconds. */
export interface SlotRequest {
    /** Route whose work times the estimate uses. */
    readonly route: string;
    /** 0 is the highest. */
    readonly priority: number;
    /** Called by a request that holds a slot of another server meanwhile. */
    readonly isNested: boolean;
    /** Time until which an answer is in time. */
    readonly targetAt: number;
    /** Time after which an answer is of no use. */
    readonly deadlineAt: number;
}

export interface SlotRefusal {
    readonly reason: "overloaded" | "deadline";
    /** Time until a slot is expected to be free for a request that comes then. */
    readonly retryAfterMs: number;
}

/** What became of requests; each appears once. */
export interface SlotChanges<T extends SlotRequest> {
    readonly started: readonly T[];
    readonly refused: readonly { readonly request: T; readonly refusal: SlotRefusal; }[];
}

interface Waiting<T> {
    readonly request: T;
    readonly order: number;
}

/** Part of the estimated work time that must fit before the deadline; the estimate is a mean, half are shorter. */
const NEEDED_SHARE_OF_WORK = 0.7;

/** Order of service. */
const Tier = { Nested: 0, InTime: 1, Late: 2 } as const;

export class SlotQueue<T extends SlotRequest> {
    readonly #readSlots: () => number;
    readonly #estimates: WorkEstimates;
    #waiting: Waiting<T>[] = [];
    #running = 0;
    #order = 0;

    constructor(readSlots: () => number, estimates: WorkEstimates) {
        this.#readSlots = readSlots;
        this.#estimates = estimates;
    }

    get running(): number {
        return this.#running;
    }

    get queued(): number {
        return this.#waiting.length;
    }

    /** Adds a request; the changes tell whether it or another one starts or is refused. */
    add(request: T, now: number): SlotChanges<T> {
        this.#waiting.push({ request, order: this.#order++ });
        return this.advance(now);
    }

    /** Removes a request that no longer waits; false when it was not queued. */
    remove(request: T): boolean {
        const index = this.#waiting.findIndex(waiting => waiting.request === request);
        if (index >= 0) {
            this.#waiting.splice(index, 1);
        }
        return index >= 0;
    }

    /** Gives a slot back and starts the next requests. */
    release(now: number): SlotChanges<T> {
        this.#running--;
        return this.advance(now);
    }

    /** Starts what has a slot, in the order of service, and refuses what can't be served in time. */
    advance(now: number): SlotChanges<T> {
        if (this.#waiting.length === 0) {
            return { started: [], refused: [] };
        }
        const slots = Math.max(0, this.#readSlots());
        const started: T[] = [];
        const refused: { request: T; refusal: SlotRefusal; }[] = [];
        const ranked = this.#rank(now);
        const kept: Waiting<T>[] = [];
        // Work ahead of the next request, in slot-milliseconds: half of each running request's work remains on average.
        let workAhead = 0;
        for (const waiting of ranked) {
            const { request } = waiting;
            const workMs = this.#estimates.estimate(request.route);
            const waitMs = this.#running < slots ? 0 : this.#estimateWait(workAhead, slots);
            if (now + waitMs + workMs * NEEDED_SHARE_OF_WORK > request.deadlineAt) {
                const reason = waitMs > 0 ? "overloaded" : "deadline";
                refused.push({ request, refusal: { reason, retryAfterMs: this.estimateWait() } });
            }
            else if (this.#running < slots) {
                this.#running++;
                started.push(request);
            }
            else {
                workAhead += workMs;
                kept.push(waiting);
            }
        }
        this.#waiting = kept;
        return { started, refused };
    }

    /** Time after which a request that comes now would start behind all others. */
    estimateWait(): number {
        const slots = Math.max(1, this.#readSlots());
        if (this.#running + this.#waiting.length < slots) {
            return 0;
        }
        const workAhead = this.#waiting.reduce((sum, { request }) => sum + this.#estimates.estimate(request.route), 0);
        return this.#estimateWait(workAhead, slots);
    }

    /** Time of the earliest deadline among those that wait; undefined when none waits. */
    readNextDeadline(): number | undefined {
        return this.#waiting.reduce<number | undefined>(
            (earliest, { request }) => Math.min(earliest ?? Infinity, request.deadlineAt),
            undefined,
        );
    }

    #estimateWait(workAhead: number, slots: number): number {
        const nextFreeMs = this.#estimates.mean / (slots + 1);
        return nextFreeMs + workAhead / Math.max(1, slots);
    }

    /** Nested calls first, then what can still be in time, then what is late; each by priority and urgency. */
    #rank(now: number): Waiting<T>[] {
        const tiers = new Map(this.#waiting.map(waiting => [waiting, this.#classify(waiting.request, now)]));
        return [...this.#waiting].sort((left, right) => {
            const tier = tiers.get(left) ?? Tier.Late;
            return tier - (tiers.get(right) ?? Tier.Late)
                || left.request.priority - right.request.priority
                || (tier === Tier.Late
                    ? left.request.deadlineAt - right.request.deadlineAt
                    : left.request.targetAt - right.request.targetAt)
                || left.order - right.order;
        });
    }

    #classify(request: T, now: number): number {
        if (request.isNested) {
            return Tier.Nested;
        }
        const endAt = now + this.#estimates.estimate(request.route);
        return endAt <= request.targetAt ? Tier.InTime : Tier.Late;
    }
}
