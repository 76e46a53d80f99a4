import type { AdmissionDecision, AdmissionLimits, AdmissionRefusal, AdmissionRequest } from "./AdmissionTypes.js";
import { ClassQueues } from "./ClassQueues.js";

/** Weight of the newest service time in the exponential moving average from which `Retry-After` is computed. */
const SERVICE_TIME_SMOOTHING = 0.1;
const INITIAL_SERVICE_TIME_MS = 20;
const MINIMUM_RETRY_AFTER_MS = 1_000;

const GRANTED: AdmissionDecision = { kind: "granted" };
const QUEUED: AdmissionDecision = { kind: "queued" };

/**
 * Admission control for the slots of the daemon's own backend server. A request is granted a slot at once,
 * queued in its class, or refused. `complete` releases a granted slot.
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

    /** Slots in use by this owner's requests. */
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

    /** Removes a request from the queue; false when it was not queued. */
    cancel(request: AdmissionRequest): boolean {
        return this.#queues.remove(request);
    }

    /** Releases a slot and dispatches the next requests. */
    complete(className: string, serviceTimeMs: number, now: number): void {
        this.#running--;
        this.#runningByClass.set(className, (this.#runningByClass.get(className) ?? 1) - 1);
        this.#serviceTimeMs += (serviceTimeMs - this.#serviceTimeMs) * SERVICE_TIME_SMOOTHING;
        this.dispatch(now);
    }

    /** Refuses queued requests whose deadline has passed and grants free slots to the others. */
    dispatch(now: number): void {
        this.#dispatch(now, undefined);
    }

    /** `arriving` is being admitted: `admit` returns its decision, so `onGrant` is not called. */
    #dispatch(now: number, arriving: AdmissionRequest | undefined): void {
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
            if (next !== arriving) {
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
        // Lease holders apply the same share to their leased slots, so that it holds for all slots together.
        const maximum = Math.max(1, Math.floor(request.maximumShare * limits.slots));
        return (this.#runningByClass.get(request.class) ?? 0) >= maximum;
    }

    /** Ensures space in the queue; a class below its share may evict the newest request of another class. */
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
