/**
 * Decides which request gets the next slot of a backend server, and which requests are refused.
 *
 * Load pattern: bursts and sustained overload, with requests of different priority and nested calls, for
 * which a request that holds a slot of another server is waiting. A server may also limit the requests a second, and the
 * link of its VM the large answers.
 */
import { LARGE_ANSWER_BYTES, LinkBudget } from "./LinkBudget.js";
import { OfferedLoad } from "./OfferedLoad.js";
import { RateLimit } from "./RateLimit.js";
import { TenantShares } from "./TenantShares.js";
import type { WorkTimeEstimator } from "./WorkTimeEstimator.js";

/** A request for a slot. Times are milliseconds on the clock of `now`. */
export interface SlotRequest {
    /** Route by which the work time is estimated. */
    readonly route: string;
    /** 0 is the highest. */
    readonly priority: number;
    /** Whether the caller is a request that holds a slot of another server. */
    readonly isNested: boolean;
    /** Time up to which an answer meets the target latency. */
    readonly targetAt: number;
    /** Time after which an answer is useless to the caller. */
    readonly deadlineAt: number;
    /** Expected size of the answer; 0 if omitted. */
    readonly answerBytes?: number;
    /** Tenants share the slots within a tier and priority; requests without one count as those of one tenant. */
    readonly tenant?: string | undefined;
}

export interface SlotRefusal {
    readonly reason: "overloaded" | "deadline";
    /** Time after which a new request is expected to get a slot. */
    readonly retryAfterMs: number;
}

/** Requests that were started or refused; each appears once. */
export interface SlotChanges<T extends SlotRequest> {
    readonly started: readonly T[];
    readonly refused: readonly { readonly request: T; readonly refusal: SlotRefusal; }[];
}

/** Expected waits of a request that arrives now, by tier. */
export interface SlotWaitEstimates {
    readonly nestedMs: number;
    readonly inTimeMs: number;
    readonly lateMs: number;
}

interface QueueEntry<T> {
    readonly request: T;
    readonly sequence: number;
    /** Whether the request was expected to meet its target on arrival. */
    isAdmittedInTime: boolean;
}

/** Factor of the estimated work time that must fit before the deadline; the estimate is a mean, half are shorter. */
const DEADLINE_WORK_FACTOR = 0.7;
/** Factor of the estimated work time that must fit before the target on arrival; most work times are shorter. */
const ADMISSION_WORK_FACTOR = 1.2;
/** Factor that must still fit while a request is queued; lower, so that a request is not demoted after it has waited. */
const QUEUED_WORK_FACTOR = 0.5;
/** Minimum share of the slots that is assumed to serve late requests, so that their estimated wait stays finite. */
const MINIMUM_LATE_SHARE = 0.02;

const MS_PER_SECOND = 1_000;

/** Service order: a lower tier is served first. */
const Tier = { Nested: 0, InTime: 1, Late: 2 } as const;
type Tier = (typeof Tier)[keyof typeof Tier];

export class SlotQueue<T extends SlotRequest> {
    readonly #readSlots: () => number;
    readonly #estimates: WorkTimeEstimator;
    readonly #rateLimit: RateLimit;
    readonly #link: LinkBudget;
    /** Load of the requests that are served before late ones. */
    readonly #offeredLoad = new OfferedLoad();
    readonly #shares = new TenantShares();
    #entries: QueueEntry<T>[] = [];
    #running = 0;
    #nextSequence = 0;

    constructor(
        readSlots: () => number,
        estimates: WorkTimeEstimator,
        rateLimit = new RateLimit(),
        link = new LinkBudget(),
    ) {
        this.#readSlots = readSlots;
        this.#estimates = estimates;
        this.#rateLimit = rateLimit;
        this.#link = link;
    }

    get running(): number {
        return this.#running;
    }

    get queued(): number {
        return this.#entries.length;
    }

    /** Adds a request and dispatches; the changes may start or refuse it or others. */
    enqueue(request: T, now: number): SlotChanges<T> {
        if (this.#classifyTier(request, now) !== Tier.Late) {
            this.#offeredLoad.record(this.#estimates.estimate(request.route), now);
        }
        this.#entries.push({ sequence: this.#nextSequence++, request, isAdmittedInTime: false });
        return this.dispatch(now);
    }

    /** Removes a request from the queue; false when it was not queued. */
    remove(request: T): boolean {
        const index = this.#entries.findIndex(entry => entry.request === request);
        if (index >= 0) {
            this.#entries.splice(index, 1);
        }
        return index >= 0;
    }

    /** Releases a slot and dispatches the next requests. */
    releaseSlot(now: number): SlotChanges<T> {
        this.#running--;
        return this.dispatch(now);
    }

    /**
     * Starts queued requests in service order while slots are free and the limits of the server and its link allow it, and
     * refuses those that would miss their deadline.
     */
    dispatch(now: number): SlotChanges<T> {
        if (this.#entries.length === 0) {
            return { started: [], refused: [] };
        }
        const slots = Math.max(0, this.#readSlots());
        const started: T[] = [];
        const refused: T[] = [];
        const remaining: QueueEntry<T>[] = [];
        // Work queued ahead of the next request, in slot-milliseconds.
        let workAhead = 0;
        // Time for which the link will be taken by queued answers ahead of the next request.
        let linkAheadMs = 0;
        for (const entry of this.#sortByServiceOrder(now)) {
            const { request } = entry;
            const answerBytes = request.answerBytes ?? 0;
            const linkMs = this.#link.computeDuration(answerBytes);
            const linkDelayMs = this.#link.estimateDelay(answerBytes, now);
            const linkWaitMs = linkMs > 0 ? linkDelayMs + linkAheadMs : 0;
            const workMs = this.#estimates.estimate(request.route);
            const tier = this.#classifyTier(request, now, entry.isAdmittedInTime);
            const slotWaitMs = this.#estimateWait(tier, workAhead, now);
            let waitMs = Math.max(linkWaitMs, slotWaitMs);
            if (tier === Tier.InTime && !entry.isAdmittedInTime) {
                entry.isAdmittedInTime = now + waitMs + workMs * ADMISSION_WORK_FACTOR + linkMs
                    <= request.targetAt;
                if (!entry.isAdmittedInTime) {
                    // It would get its slot too late for the target, so requests in time are served before it.
                    waitMs = Math.max(linkWaitMs, this.#estimateWait(Tier.Late, workAhead, now));
                }
            }
            // A late answer would take as much of the link as one in time.
            const isTooLateForLink = linkWaitMs > slotWaitMs && !entry.isAdmittedInTime;
            if (
                isTooLateForLink || now + waitMs + workMs * DEADLINE_WORK_FACTOR + linkMs > request.deadlineAt
            ) {
                refused.push(request);
            }
            else if (this.#running < slots && linkDelayMs === 0 && this.#rateLimit.take(now)) {
                this.#link.take(answerBytes, now);
                this.#running++;
                this.#shares.recordStart(formatClass(tier, request), request.tenant, workMs);
                started.push(request);
            }
            else {
                workAhead += workMs;
                linkAheadMs += linkMs;
                remaining.push(entry);
            }
        }
        this.#entries = remaining;
        if (remaining.length === 0) {
            this.#shares.reset();
        }
        return { started, refused: refused.map(request => ({ request, refusal: this.#buildRefusal(request, now) })) };
    }

    #buildRefusal({ answerBytes = 0 }: T, now: number): SlotRefusal {
        const linkWaitMs = this.#link.computeDuration(answerBytes) > 0 ? this.estimateLinkWait(now) : 0;
        const isOverloaded = linkWaitMs > 0 || this.#running >= Math.max(0, this.#readSlots());
        return {
            reason: isOverloaded ? "overloaded" : "deadline",
            retryAfterMs: Math.max(linkWaitMs, this.estimateWaits(now).inTimeMs),
        };
    }

    /** Expected wait of a large answer for the link. */
    estimateLinkWait(now: number): number {
        const queuedMs = this.#entries.reduce(
            (sum, { request }) => sum + this.#link.computeDuration(request.answerBytes ?? 0),
            0,
        );
        return this.#link.estimateDelay(LARGE_ANSWER_BYTES, now) + queuedMs;
    }

    /** Expected waits for a slot of a request that arrives now. */
    estimateWaits(now: number): SlotWaitEstimates {
        const workAhead = [0, 0, 0];
        for (const { request, isAdmittedInTime } of this.#entries) {
            const workMs = this.#estimates.estimate(request.route);
            for (let tier: number = this.#classifyTier(request, now, isAdmittedInTime); tier <= Tier.Late; tier++) {
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
        const limitDelayMs = this.#rateLimit.estimateDelay(now);
        if (this.#running < slots && limitDelayMs === 0) {
            return 0;
        }
        const busySlots = this.#computeUsableSlots(slots);
        const slotDelayMs = this.#running < slots ? 0 : this.#estimates.meanMs / (slots + 1);
        const nextFreeMs = Math.max(slotDelayMs, limitDelayMs);
        // Requests that arrive later and can still meet their target are served before a late one.
        const availableSlots = tier === Tier.Late
            ? Math.max(busySlots * MINIMUM_LATE_SHARE, busySlots - this.#offeredLoad.getBusySlots(now))
            : busySlots;
        return tier === Tier.Late
            ? (nextFreeMs * busySlots + workAhead) / availableSlots
            : nextFreeMs + workAhead / availableSlots;
    }

    /** Mean number of slots that requests keep busy when they start at the rate limit. */
    #computeUsableSlots(slots: number): number {
        const { perSecond } = this.#rateLimit;
        return perSecond === undefined ? slots : Math.min(slots, perSecond * this.#estimates.meanMs / MS_PER_SECOND);
    }

    /** Sorts by tier, then priority, then the tenants' shares, then the nearest target or, for late requests, deadline. */
    #sortByServiceOrder(now: number): QueueEntry<T>[] {
        const tiers = new Map(
            this.#entries.map(entry => [entry, this.#classifyTier(entry.request, now, entry.isAdmittedInTime)]),
        );
        const sorted = [...this.#entries].sort((left, right) => {
            const tier = tiers.get(left) ?? Tier.Late;
            return tier - (tiers.get(right) ?? Tier.Late)
                || left.request.priority - right.request.priority
                || (tier === Tier.Late
                    ? left.request.deadlineAt - right.request.deadlineAt
                    : left.request.targetAt - right.request.targetAt)
                || left.sequence - right.sequence;
        });
        return this.#shares.sort(
            sorted,
            entry => formatClass(tiers.get(entry) ?? Tier.Late, entry.request),
            ({ request }) => request.tenant,
            ({ request }) => this.#estimates.estimate(request.route),
        );
    }

    #classifyTier(request: T, now: number, isAdmittedInTime = false): Tier {
        if (request.isNested) {
            return Tier.Nested;
        }
        const share = isAdmittedInTime ? QUEUED_WORK_FACTOR : 1;
        const endAt = now + this.#estimates.estimate(request.route) * share;
        return endAt <= request.targetAt ? Tier.InTime : Tier.Late;
    }
}

/** Names the requests of one urgency, among which tenants share the slots. */
function formatClass(tier: Tier, { priority }: SlotRequest): string {
    return `${tier}/${priority}`;
}
