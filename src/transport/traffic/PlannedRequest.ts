/** Builds what the owner of a server gets of a request from the plan by which it is forwarded. */
import type { Baseline } from "../../coordination/rollouts/index.js";
import type { OwnedRequest } from "../ownership/index.js";
import type { ForwardingPlan } from "./ForwardingPlan.js";

export interface AttemptDetails {
    /** Only for a server on trial, or one that is being promoted. */
    readonly baseline?: Baseline | undefined;
    /** Whether the request may have reached a server before. */
    readonly isRetry: boolean;
}

export function buildOwnedRequest(
    plan: ForwardingPlan,
    { baseline, isRetry }: AttemptDetails,
    now: number,
): OwnedRequest {
    const { body, callerService, headers, isNested, method, requestId, route, service, target, tenant, version } = plan;
    return {
        baseline,
        body,
        budgetLeftMs: plan.deadlineAt - now,
        callerService,
        headers,
        isNested,
        isRetry: plan.isRetry || isRetry,
        kind: route.kind,
        method,
        priority: tenant?.priority ?? route.priority,
        requestId,
        route: route.name,
        service,
        target,
        targetLeftMs: plan.targetAt - now,
        tenant: tenant?.name,
        version,
    };
}
