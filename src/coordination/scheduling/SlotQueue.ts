/**
 * Decides which request gets the next slot of a backend server, and which are turned away.
 *
 * Load pattern: bursts and lasting load above the server's capacity, by requests that differ in urgency,
 * and by calls for which a request that already holds a slot elsewhere is waiting.
 */
import { OfferedLoad } from "./OfferedLoad.js";
import type { WorkTimeEstimator } from "./WorkTimeEstimator.js";

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

/** Time after which a request that comes now would start, by the order of service. */
export interface SlotWaitEstimates {
    readonly nestedMs: number;
    readonly inTimeMs: number;
    readonly lateMs: number;
}

interface QueueEntry<T> {
    readonly request: T;
    readonly sequence: number;
    /** Whether it was expected to be in time when it came. */
    isAdmittedInTime: boolean;
}

/** Part of the estimated work time that must fit before the deadline; the estimate is a mean, half are shorter. */
const DEADLINE_WORK_FACTOR = 0.7;
/** Part of the estimated work time that must fit before the target when a request comes: most work times are shorter. */
const ADMISSION_WORK_FACTOR = 1.2;
/** Part that must still fit while it waits; lower, so that a request is not passed over after it has waited. */
const QUEUED_WORK_FACTOR = 0.5;
/** Least part of the slots that is expected to be left for late requests, so that their wait stays finite. */
const MINIMUM_LATE_SHARE = 0.02;

/** Order of service. */
const Tier = { Nested: 0, InTime: 1, Late: 2 } as const;
type Tier = (typeof Tier)[keyof typeof Tier];

export class SlotQueue<T extends SlotRequest> {
    readonly #readSlots: () => number;
    readonly #estimates: WorkTimeEstimator;
    /** Work of requests that go before late ones. */
    readonly #offeredLoad = new OfferedLoad();
    #entries: QueueEntry<T>[] = [];
    #running = 0;
    #nextSequence = 0;

    constructor(readSlots: () => number, estimates: WorkTimeEstimator) {
        this.#readSlots = readSlots;
        this.#estimates = estimates;
    }

    get running(): number {
        return this.#running;
    }

    get queued(): number {
        return this.#entries.length;
    }

    /** Adds a request; the changes tell whether it or another one starts or is refused. */
    enqueue(request: T, now: number): SlotChanges<T> {
        if (this.#classifyTier(request, now) !== Tier.Late) {
            this.#offeredLoad.record(this.#estimates.estimate(request.route), now);
        }
        this.#entries.push({ sequence: this.#nextSequence++, request, isAdmittedInTime: false });
        return this.dispatch(now);
    }

    /** Removes a request that no longer waits; false when it was not queued. */
    remove(request: T): boolean {
        const index = this.#entries.findIndex(waiting => waiting.request === request);
        if (index >= 0) {
            this.#entries.splice(index, 1);
        }
        return index >= 0;
    }

    /** Gives a slot back and starts the next requests. */
    releaseSlot(now: number): SlotChanges<T> {
        this.#running--;
        return this.dispatch(now);
    }

    /** Starts what has a slot, in the order of service, and refuses what can't be served in time. */
    dispatch(now: number): SlotChanges<T> {
        if (this.#entries.length === 0) {
            return { started: [], refused: [] };
        }
        const slots = Math.max(0, this.#readSlots());
        const started: T[] = [];
        const refused: T[] = [];
        const kept: QueueEntry<T>[] = [];
        // Work ahead of the next request, in slot-milliseconds.
        let workAhead = 0;
        for (const waiting of this.#sortByServiceOrder(now)) {
            const { request } = waiting;
            const workMs = this.#estimates.estimate(request.route);
            const tier = this.#classifyTier(request, now, waiting.isAdmittedInTime);
            let waitMs = this.#estimateWait(tier, workAhead, now);
            if (tier === Tier.InTime && !waiting.isAdmittedInTime) {
                waiting.isAdmittedInTime = now + waitMs + workMs * ADMISSION_WORK_FACTOR <= request.targetAt;
                if (!waiting.isAdmittedInTime) {
                    // It would be late by the time that it gets a slot, and others would go before it.
                    waitMs = this.#estimateWait(Tier.Late, workAhead, now);
                }
            }
            if (now + waitMs + workMs * DEADLINE_WORK_FACTOR > request.deadlineAt) {
                refused.push(request);
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
        this.#entries = kept;
        const retryAfterMs = refused.length > 0 ? this.estimateWaits(now).inTimeMs : 0;
        const reason = this.#running >= slots ? "overloaded" : "deadline";
        return { started, refused: refused.map(request => ({ request, refusal: { reason, retryAfterMs } })) };
    }

    /** Time after which a request that comes now would start. */
    estimateWaits(now: number): SlotWaitEstimates {
        const workAhead = [0, 0, 0];
        for (const { request, isAdmittedInTime: wasInTime } of this.#entries) {
            const workMs = this.#estimates.estimate(request.route);
            for (let tier: number = this.#classifyTier(request, now, wasInTime); tier <= Tier.Late; tier++) {
                workAhead[tier] = (workAhead[tier] ?? 0) + workMs;
            }
        }
        return {
            inTimeMs: this.#estimateWait(Tier.InTime, workAhead[Tier.InTime] ?? 0, now),
            lateMs: this.#estimateWait(Tier.Late, workAhead[Tier.Late] ?? 0, now),
            nestedMs: this.#estimateWait(Tier.Nested, workAhead[Tier.Nested] ?? 0, now),
        };
    }

    #estimateWait(tier: Tier, workAhead: number, now: number): number {
        const slots = Math.max(1, this.#readSlots());
        if (this.#running < slots) {
            return 0;
        }
        const nextFreeMs = this.#estimates.meanMs / (slots + 1);
        // Requests that come later and still can be in time go before a late one.
        const left = tier === Tier.Late
            ? Math.max(slots * MINIMUM_LATE_SHARE, slots - this.#offeredLoad.getBusySlots(now))
            : slots;
        return tier === Tier.Late ? (nextFreeMs * slots + workAhead) / left : nextFreeMs + workAhead / left;
    }

    /** Nested calls first, then what can still be in time, then what is late; each by priority and urgency. */
    #sortByServiceOrder(now: number): QueueEntry<T>[] {
        const tiers = new Map(
            this.#entries.map(waiting => [waiting, this.#classifyTier(waiting.request, now, waiting.isAdmittedInTime)]),
        );
        return [...this.#entries].sort((left, right) => {
            const tier = tiers.get(left) ?? Tier.Late;
            return tier - (tiers.get(right) ?? Tier.Late)
                || left.request.priority - right.request.priority
                || (tier === Tier.Late
                    ? left.request.deadlineAt - right.request.deadlineAt
                    : left.request.targetAt - right.request.targetAt)
                || left.sequence - right.sequence;
        });
    }

    #classifyTier(request: T, now: number, wasInTime = false): Tier {
        if (request.isNested) {
            return Tier.Nested;
        }
        const share = wasInTime ? QUEUED_WORK_FACTOR : 1;
        const endAt = now + this.#estimates.estimate(request.route) * share;
        return endAt <= request.targetAt ? Tier.InTime : Tier.Late;
    }
}
