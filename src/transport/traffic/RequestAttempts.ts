/** Attempts of one request, each at another owner: sends, ends and cancels them, and counts the servers reached. */
import { Distance } from "../../coordination/placement/index.js";
import type { OwnerLoad } from "../../coordination/placement/index.js";
import type { RequestHandle } from "../ownership/index.js";
import type { SessionRequestEvents } from "../sessions/index.js";
import type { ForwardingContext, ForwardingPlan } from "./ForwardingPlan.js";
import type { SelectedOwner } from "./OwnerSelection.js";
import { PlacementHistory } from "./PlacementHistory.js";
import { buildOwnedRequest } from "./PlannedRequest.js";
import type { Owner } from "./ServerDirectory.js";

/** Cause of a placement that is a hedge, in the access log. */
export const HEDGE_CAUSE = "hedge";

export class Attempt {
    handle: RequestHandle | undefined;
    hasProceeded = false;
    isEnded = false;

    /** `isHedge`: sent while another owner has the request, as a hedge. */
    constructor(readonly owner: Owner, readonly sentAt: number, readonly isHedge: boolean) {}

    /** Tells the owner to run the request for which it has offered a slot. */
    proceed(): void {
        if (!this.isEnded) {
            this.hasProceeded = true;
            this.handle?.proceed();
        }
    }
}

export class RequestAttempts {
    readonly history = new PlacementHistory();
    readonly #context: ForwardingContext;
    readonly #plan: ForwardingPlan;
    readonly #open = new Set<Attempt>();
    readonly #excludedOwners = new Set<string>();
    #hasCrossed = false;
    #isHedged = false;
    #placementCount = 0;
    #serversReached = 0;

    constructor(context: ForwardingContext, plan: ForwardingPlan) {
        this.#context = context;
        this.#plan = plan;
    }

    /** Owners at which the request was placed already. */
    get excludedOwners(): ReadonlySet<string> {
        return this.#excludedOwners;
    }

    /** Whether a hedge was sent. */
    get isHedged(): boolean {
        return this.#isHedged;
    }

    get openCount(): number {
        return this.#open.size;
    }

    /** Whether an attempt was sent to another failure domain. */
    get hasCrossed(): boolean {
        return this.#hasCrossed;
    }

    get placementCount(): number {
        return this.#placementCount;
    }

    /** Servers that the request may have reached. */
    get serversReached(): number {
        return this.#serversReached;
    }

    /** Lists the open attempts; a copy, so that they may be ended meanwhile. */
    listOpen(): readonly Attempt[] {
        return [...this.#open];
    }

    /** Records that an owner has certainly not passed the request on to its server. */
    recordNotReached(): void {
        this.#serversReached--;
    }

    send(
        { baseline, candidate: owner, latencyMs }: SelectedOwner,
        cause: string,
        buildEvents: (attempt: Attempt) => SessionRequestEvents,
    ): void {
        const now = this.#context.now();
        const isHedge = cause === HEDGE_CAUSE;
        const attempt = new Attempt(owner, now, isHedge);
        const request = buildOwnedRequest(this.#plan, { baseline, isRetry: this.#serversReached > 0 }, now);
        this.history.recordPlacement(owner, cause, latencyMs, now);
        this.#isHedged ||= isHedge;
        this.#hasCrossed ||= owner.statistics.distance !== Distance.SameDomain;
        this.#placementCount++;
        this.#serversReached++;
        this.#excludedOwners.add(owner.id);
        this.#open.add(attempt);
        owner.statistics.recordStart(now);
        const handle = owner.submit(request, buildEvents(attempt));
        attempt.handle = handle;
        if (attempt.hasProceeded) {
            handle.proceed();
        }
        if (attempt.isEnded) {
            handle.cancel();
        }
    }

    /** Ends an attempt; false when it had ended before. */
    end(attempt: Attempt, load: OwnerLoad | undefined, end: string): boolean {
        if (attempt.isEnded) {
            return false;
        }
        this.history.recordEnd(attempt.owner.id, end);
        attempt.isEnded = true;
        this.#open.delete(attempt);
        attempt.owner.statistics.recordEnd();
        if (load !== undefined) {
            this.#context.directory.recordLoad(attempt.owner.id, load);
        }
        return true;
    }

    cancel(attempt: Attempt): void {
        if (!attempt.isEnded) {
            attempt.isEnded = true;
            this.#open.delete(attempt);
            attempt.owner.statistics.recordEnd();
            attempt.owner.statistics.ejection.recordInconclusive();
            const elapsedMs = this.#context.now() - attempt.sentAt;
            attempt.owner.statistics.recordUnfinished(this.#plan.route.name, elapsedMs);
            if (!attempt.isHedge) {
                this.#plan.latencies.distribution.recordLowerBound(elapsedMs);
            }
            if (this.#isHedged) {
                this.history.recordEnd(attempt.owner.id, "cancelled");
            }
            attempt.handle?.cancel();
        }
    }

    /** Cancels all attempts but one. */
    cancelAll(kept?: Attempt): void {
        for (const attempt of this.listOpen()) {
            if (attempt !== kept) {
                this.cancel(attempt);
            }
        }
    }
}
