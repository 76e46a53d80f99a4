/** Builds what the owner of a server gets of a request from the plan by which it is forwarded. */
import type { OwnedRequest } from "../ownership/index.js";
import type { ForwardingPlan } from "./ForwardingPlan.js";

/** `isRetry` tells whether the request may have reached a server before. */
export function buildOwnedRequest(plan: ForwardingPlan, isRetry: boolean, now: number): OwnedRequest {
    const { body, callerService, headers, isNested, method, requestId, route, service, target, tenant, version } = plan;
    return {
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
