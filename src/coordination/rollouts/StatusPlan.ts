/** Decides the next step of an order for a daemon that may write its status. */
import { Evidence, reviewEvidence } from "./EvidenceReview.js";
import {
    ABORT_PROMOTION_MS,
    FINAL_STEPS_MS,
    FINAL_STEPS_SHARE,
    FORCED_STATUS_MS,
    LATEST_DECISION_MS,
    REJECTED_DRAIN_MS,
} from "./RolloutConstants.js";
import { DecisionKind, OwnerPhase, RolloutStage, RolloutState } from "./RolloutTypes.js";
import type { OwnerReport, Rollout, RolloutOrder } from "./RolloutTypes.js";

export type StatusStep =
    | { readonly kind: "write"; readonly state: RolloutState; }
    | { readonly kind: "decide"; readonly decision: DecisionKind; readonly reason: string; };

export interface StatusQuestion {
    /** Ids of the owners of the service that may still run requests. */
    readonly ownerIds: readonly string[];
    readonly now: number;
    /** Delay of this writer, so that one of several acts first. */
    readonly delayMs: number;
}

/** Part of a writer's delay that applies to steps near the order's end, where less time is left. */
const LATE_DELAY_SHARE = 0.25;

/** Time at which a version on trial is promoted: as late as the final steps allow. */
export function computePromotionTime({ finishByMs, learnedAt }: RolloutOrder): number {
    return learnedAt + finishByMs - Math.max(FINAL_STEPS_MS, FINAL_STEPS_SHARE * finishByMs);
}

/** Returns the next step; undefined while there is none. */
export function planStep(rollout: Rollout, question: StatusQuestion): StatusStep | undefined {
    const { order, stage } = rollout;
    const { delayMs, now } = question;
    switch (stage) {
        case RolloutStage.Trial:
            return planTrial(rollout, question);
        case RolloutStage.Promoting:
            return planPromotion(rollout, question);
        case RolloutStage.Rejected: {
            const decidedAt = rollout.decision?.at ?? order.learnedAt;
            const isOver = now >= computeEnd(order) - FORCED_STATUS_MS || now - decidedAt >= REJECTED_DRAIN_MS;
            const isDrained = listTargets(rollout).every(report => report.isDrained);
            return now - decidedAt >= delayMs && (isDrained || isOver)
                ? { kind: "write", state: RolloutState.RolledBack }
                : undefined;
        }
        default:
            return undefined;
    }
}

function planTrial(rollout: Rollout, { delayMs, now, ownerIds }: StatusQuestion): StatusStep | undefined {
    const { order, reports } = rollout;
    if (isInForce(order, reports, ownerIds)) {
        return { kind: "write", state: RolloutState.Succeeded };
    }
    const isLast = now >= computeEnd(order) - LATEST_DECISION_MS + delayMs * LATE_DELAY_SHARE;
    const evidence = reviewEvidence(rollout, isLast);
    if (
        now >= computePromotionTime(order) + delayMs
        && (evidence === Evidence.Sufficient || isLast && evidence === Evidence.Weak)
    ) {
        return { decision: DecisionKind.Promoting, kind: "decide", reason: `the evidence is ${evidence}` };
    }
    if (isLast) {
        const reason = listTargets(rollout).length === 0
            ? "no server has the version"
            : evidence === Evidence.None
            ? "nothing was measured"
            : "too few answers, or doubts, until the end";
        return { decision: DecisionKind.Rejected, kind: "decide", reason };
    }
    return order.state === undefined && now - order.learnedAt >= delayMs
        ? { kind: "write", state: RolloutState.Running }
        : undefined;
}

function planPromotion(rollout: Rollout, { delayMs, now, ownerIds }: StatusQuestion): StatusStep | undefined {
    const { decision, order, reports } = rollout;
    const isEachDrained = ownerIds.every(id => {
        const report = reports.get(id);
        return report !== undefined && (report.softwareVersion === order.targetVersion || report.isDrained);
    });
    if (isEachDrained && now - (decision?.at ?? now) >= delayMs) {
        return { kind: "write", state: RolloutState.Succeeded };
    }
    return now >= computeEnd(order) - ABORT_PROMOTION_MS + delayMs * LATE_DELAY_SHARE
        ? {
            decision: DecisionKind.Rejected,
            kind: "decide",
            reason: "servers of the old version can't be closed in time",
        }
        : undefined;
}

/** Whether all owners have the target version as their regular one, so that there is nothing to do. */
function isInForce(
    { targetVersion }: RolloutOrder,
    reports: ReadonlyMap<string, OwnerReport>,
    ownerIds: readonly string[],
): boolean {
    return ownerIds.length > 0 && ownerIds.every(id => {
        const report = reports.get(id);
        return report?.softwareVersion === targetVersion && report.phase === OwnerPhase.Open;
    });
}

function listTargets({ order, reports }: Rollout): readonly OwnerReport[] {
    return [...reports.values()].filter(({ softwareVersion }) => softwareVersion === order.targetVersion);
}

function computeEnd({ finishByMs, learnedAt }: RolloutOrder): number {
    return learnedAt + finishByMs;
}
