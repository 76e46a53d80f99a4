import type { AdmissionDecision, AdmissionLimits, AdmissionRefusal, AdmissionRequest } from "./AdmissionTypes.js";
import { ClassQueues } from "./ClassQueues.js";

/** Weight of the newest service time in the mean that `Retry-After` is computed from. */
const SERVICE_TIME_SMOOTHING = 0.1;
const INITIAL_SERVICE_TIME_MS = 20;
const MINIMUM_RETRY_AFTER_MS = 1_000;

const GRANTED: AdmissionDecision = { kind: "granted" };
const QUEUED: AdmissionDecision = { kind: "queued" };

/**
 * Exact admission to the slots of the own backend server. A request gets a slot at once, waits in
 * the queue of its class, or is refused. Each granted slot is given back by `complete`.
 */
export class ServerAdmission {
    readonly #readLimits: (now: number) => AdmissionLimits;
    readonly #queues = new ClassQueues();
    readonly #runningByClass = new Map<string, number>();
    #running = 0;
    #serviceTimeMs = INITIAL_SERVICE_TIME_MS;

    constructor(readLimits: (now: number) => AdmissionLimits) {
        this.#readLimits = readLimits;
    }

    /** Slots in which this owner's requests work. */
    get running(): number {
        return this.#running;
    }

    get queued(): number {
        return this.#queues.length;
    }

    admit(request: AdmissionRequest, now: number): AdmissionDecision {
        const limits = this.#readLimits(now);
        if (this.#queues.length === 0 && this.#hasSlot(request, limits)) {
            this.#grant(request);
            return GRANTED;
        }
        if (request.deadline <= now) {
            return { kind: "refused", refusal: this.#buildRefusal("deadline", limits) };
        }
        if (!this.#ensureQueueSpace(request, limits)) {
            const isOwnLimit = this.#running < limits.slots && this.#isClassFull(request, limits);
            const reason = isOwnLimit ? "class-limit" : "overloaded";
            return { kind: "refused", refusal: this.#buildRefusal(reason, limits) };
        }
        this.#queues.enqueue(request);
        this.#dispatch(now, request);
        return this.#queues.has(request) ? QUEUED : GRANTED;
    }

    /** Whether a request of this class would be refused at once. */
    isFull(className: string, weight: number, now: number): boolean {
        const limits = this.#readLimits(now);
        return this.#queues.length >= limits.queueLength && this.#running >= limits.slots
            && !this.#queues.isBelowShare(className, weight, limits.queueLength);
    }

    /** Removes a request that no longer waits; false when it was not queued. */
    cancel(request: AdmissionRequest): boolean {
        return this.#queues.remove(request);
    }

    /** Gives a slot back and lets the next requests in. */
    complete(className: string, serviceTimeMs: number, now: number): void {
        this.#running--;
        this.#runningByClass.set(className, (this.#runningByClass.get(className) ?? 1) - 1);
        this.#serviceTimeMs += (serviceTimeMs - this.#serviceTimeMs) * SERVICE_TIME_SMOOTHING;
        this.dispatch(now);
    }

    /** Refuses requests whose deadline has passed and grants the slots that are free. */
    dispatch(now: number): void {
        this.#dispatch(now, undefined);
    }

    /** `entering` is told of its slot by the return value of `admit`, not by a call. */
    #dispatch(now: number, entering: AdmissionRequest | undefined): void {
        if (this.#queues.length === 0) {
            return;
        }
        const limits = this.#readLimits(now);
        for (const expired of this.#queues.dequeueExpired(now)) {
            expired.onRefuse(this.#buildRefusal("deadline", limits));
        }
        for (;;) {
            const next = this.#queues.dequeue(request => this.#hasSlot(request, limits));
            if (next === undefined) {
                return;
            }
            this.#grant(next);
            if (next !== entering) {
                next.onGrant();
            }
        }
    }

    #grant(request: AdmissionRequest): void {
        this.#running++;
        this.#runningByClass.set(request.class, (this.#runningByClass.get(request.class) ?? 0) + 1);
    }

    #hasSlot(request: AdmissionRequest, limits: AdmissionLimits): boolean {
        return this.#running < limits.slots && !this.#isClassFull(request, limits);
    }

    #isClassFull(request: AdmissionRequest, limits: AdmissionLimits): boolean {
        // Holders keep classes to the same share of leased slots, so that the shares add up to one of all slots.
        const most = Math.max(1, Math.floor(request.maximumShare * limits.slots));
        return (this.#runningByClass.get(request.class) ?? 0) >= most;
    }

    /** Ensures a place in the queue, if need be by refusing the newest request of a class that exceeds its share. */
    #ensureQueueSpace(request: AdmissionRequest, limits: AdmissionLimits): boolean {
        if (this.#queues.length < limits.queueLength) {
            return true;
        }
        if (limits.queueLength === 0 || !this.#queues.isBelowShare(request.class, request.weight, limits.queueLength)) {
            return false;
        }
        const evicted = this.#queues.evict(request.class);
        evicted?.onRefuse(this.#buildRefusal("overloaded", limits));
        return evicted !== undefined;
    }

    #buildRefusal(reason: AdmissionRefusal["reason"], limits: AdmissionLimits): AdmissionRefusal {
        const waitMs = (this.#queues.length + 1) * this.#serviceTimeMs / Math.max(1, limits.slots);
        return { reason, retryAfterMs: Math.max(MINIMUM_RETRY_AFTER_MS, waitMs) };
    }
}
