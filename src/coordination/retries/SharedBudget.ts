/**
 * Divides the mesh's budget of repeats between its daemons and their requests, without talk.
 *
 * Load pattern: all servers of a service decline a large part of what they are sent, so that the budget is
 * spent long before the servers are well again. A first refusal costs a caller little, since it may come back;
 * a second one ends its request.
 */
import type { RetryBudgetSettings } from "./RetryBudget.js";

/**
 * Part of the mesh's budget that one daemon uses. Budgets decay while the users' windows slide, and calls
 * that a repeated request makes count as repeats as well.
 */
const BUDGET_SHARE = 0.6;
/** Part of a daemon's budget that requests may use whose callers can still come back; the rest is kept for the others. */
const FIRST_ATTEMPT_SHARE = 0.5;
const MS_PER_SECOND = 1_000;

/** Budget of the whole mesh for one service. */
export interface MeshBudget {
    /** Repeats for each request in one window. */
    readonly ratio: number;
    /** Repeats in one window besides. */
    readonly slack: number;
    readonly windowMs: number;
}

/**
 * Budget of one of `daemons` daemons for a repeat. `isLastChance` tells that the request can't come back:
 * its caller has come back already, or it is a call that a running request waits for.
 */
export function computeDaemonBudget(mesh: MeshBudget, daemons: number, isLastChance: boolean): RetryBudgetSettings {
    const share = BUDGET_SHARE * (isLastChance ? 1 : FIRST_ATTEMPT_SHARE);
    return {
        budget: mesh.ratio * share,
        minimumPerSecond: mesh.slack * share / Math.max(1, daemons) / (mesh.windowMs / MS_PER_SECOND),
    };
}
