/** Second requests for an answer that doesn't come: a hedge, or a repeat once the answer is probably lost. */
import { computeRecheckDelay, MAXIMUM_CHECKS } from "../../coordination/hedging/index.js";
import type { HedgeObstacle } from "../../coordination/hedging/index.js";
import type { Placement } from "../../coordination/placement/index.js";
import { isRepeatable } from "../../state/traffic/index.js";
import type { ForwardingContext, ForwardingPlan } from "./ForwardingPlan.js";
import type { RequestAttempts } from "./RequestAttempts.js";
import type { Owner } from "./ServerDirectory.js";
import { MAXIMUM_PLACEMENTS, MINIMUM_HEDGE_DELAY_MS, MINIMUM_RETRY_TIME_MS } from "./TrafficConstants.js";

export interface HedgeActions {
    /** Sends the hedge. */
    send(placement: Placement<Owner>): void;
    /** Repeats the request, whose answer is probably lost. */
    repeat(): void;
}

export class RequestHedge {
    readonly #context: ForwardingContext;
    readonly #plan: ForwardingPlan;
    readonly #attempts: RequestAttempts;
    readonly #actions: HedgeActions;
    #checks = 0;
    #obstacle: HedgeObstacle | undefined;
    #cancelCheck: () => void = () => undefined;
    #cancelRepeat: () => void = () => undefined;

    constructor(context: ForwardingContext, plan: ForwardingPlan, attempts: RequestAttempts, actions: HedgeActions) {
        this.#context = context;
        this.#plan = plan;
        this.#attempts = attempts;
        this.#actions = actions;
    }

    /** Schedules both kinds of second requests. */
    schedule(): void {
        const { isRetry, latencies, route } = this.#plan;
        // A second request for a call of a repeated request would multiply the repeats at each service of the chain.
        const isRepeatedCall = isRetry && this.#context.hedging.share > 0;
        if (!isRepeatable(route.kind) || isRepeatedCall) {
            return;
        }
        const delayMs = this.#context.hedging.computeDelay(route);
        const lostDelayMs = latencies.estimateLostDelay();
        if (lostDelayMs !== undefined) {
            // Where a request may be hedged, its hedge goes first, also if the latencies are so uneven that the delays are reversed.
            const repeatDelayMs = Math.max(MINIMUM_HEDGE_DELAY_MS, lostDelayMs, 2 * (delayMs ?? 0));
            this.#cancelRepeat = this.#context.timers.after(repeatDelayMs, () => {
                if (!this.#attempts.isHedged) {
                    this.#actions.repeat();
                }
            });
        }
        if (delayMs !== undefined) {
            this.#scheduleCheck(delayMs, delayMs);
        }
    }

    /** Ends the wait, because the request is complete or its answer has begun. */
    stop(): void {
        this.#cancelCheck();
        this.#cancelRepeat();
        if (this.#obstacle !== undefined) {
            this.#count("not-hedged", this.#obstacle);
            this.#obstacle = undefined;
        }
    }

    /** Counts how a hedged request ended: by the hedge's answer, or without it. */
    recordAnswer(isFromHedge: boolean): void {
        if (this.#attempts.isHedged) {
            this.#count("hedged", isFromHedge ? "answered-first" : "answered-second");
        }
    }

    #scheduleCheck(inMs: number, delayMs: number): void {
        this.#cancelCheck = this.#context.timers.after(inMs, () => this.#check(delayMs));
    }

    #check(delayMs: number): void {
        const { attempts, context, plan } = { attempts: this.#attempts, context: this.#context, plan: this.#plan };
        const now = context.now();
        const [first, ...others] = attempts.listOpen();
        if (
            plan.deadlineAt - now < MINIMUM_RETRY_TIME_MS
            || attempts.placementCount >= MAXIMUM_PLACEMENTS
            || attempts.serversReached >= plan.route.maximumServers
            || others.length > 0
            || context.findRestriction(plan) !== undefined
            || context.findSuspicion(plan) !== undefined
        ) {
            return;
        }
        if (first === undefined) {
            this.#scheduleCheck(delayMs, delayMs);
            return;
        }
        const elapsedMs = now - first.sentAt;
        // An earlier owner has refused the request, so that this one has it for a shorter time.
        if (elapsedMs < delayMs - 1) {
            this.#scheduleCheck(delayMs - elapsedMs, delayMs);
            return;
        }
        const { obstacle, placement } = context.hedging.selectHedge(plan.service, attempts.excludedOwners, {
            budgetLeftMs: plan.deadlineAt - now,
            bytes: plan.body.length + plan.statistics.answerBytes,
            elapsedMs,
            first: first.owner,
            isNested: plan.isNested,
            latencies: plan.latencies.distribution,
            route: plan.route.name,
            targetLeftMs: plan.targetAt - now,
        });
        this.#obstacle = obstacle;
        if (placement !== undefined) {
            this.#count("hedged", "sent");
            this.#actions.send(placement);
        }
        else if (++this.#checks < MAXIMUM_CHECKS) {
            this.#scheduleCheck(computeRecheckDelay(delayMs), delayMs);
        }
    }

    #count(kind: "hedged" | "not-hedged", reason: string): void {
        const { route, service } = this.#plan;
        this.#context.recorder.count({ class: route.name, kind, reason, service });
    }
}
