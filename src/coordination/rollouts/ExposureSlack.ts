/** Requests beyond the shares of the callers' daemons that candidates take, so that services with few requests are measured too. */
import { SLACK_IN_USE } from "./RolloutConstants.js";
import type { Rollout } from "./RolloutTypes.js";
import { computePromotionTime } from "./StatusPlan.js";

export interface SlackUse {
    /** Slack of all candidates together. */
    readonly slack: number;
    /** Candidates that get requests at a time. */
    readonly activeCount: number;
    /** Requests that this candidate has taken so far. */
    readonly used: number;
}

/** Returns how many more requests a candidate takes now; the slack is spread over the time of the trial. */
export function computeSlackLeft(
    { order, reports }: Pick<Rollout, "order" | "reports">,
    selfId: string,
    { activeCount, slack, used }: SlackUse,
    now: number,
): number {
    const elapsedShare = (now - order.learnedAt) / (computePromotionTime(order) - order.learnedAt);
    const usable = slack * SLACK_IN_USE;
    let usedByOthers = 0;
    for (const { ownerId, slackUsed } of reports.values()) {
        usedByOthers += ownerId === selfId ? 0 : slackUsed;
    }
    const own = usable / Math.max(1, activeCount) * Math.min(1, elapsedShare) - used;
    return Math.max(0, Math.floor(Math.min(own, usable - usedByOthers - used)));
}
