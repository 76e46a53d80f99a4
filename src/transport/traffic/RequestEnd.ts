/** Builds the record of a finished request, for metrics and the access log. */
import type { RequestRecord } from "../../coordination/recording/index.js";
import { Outcome } from "../../protocol/request/index.js";
import type { ForwardingPlan } from "./ForwardingPlan.js";
import type { RequestAttempts } from "./RequestAttempts.js";

/** How a request reached its server. */
export const Hop = { Local: "local", Relayed: "relayed" } as const;
/** Lowest status by which a server says that it has failed. */
export const FIRST_SERVER_FAILURE = 500;

export interface RequestEnd {
    /** Why the request was not answered normally; empty otherwise. */
    readonly detail: string;
    readonly hop: string | undefined;
    readonly latencyMs: number;
    readonly outcome: Outcome;
    readonly queuedMs: number;
    /** Id of the owner whose answer was passed on. */
    readonly server: string | undefined;
    readonly status: number;
}

export function buildRequestRecord(plan: ForwardingPlan, attempts: RequestAttempts, end: RequestEnd): RequestRecord {
    const { method, requestId, route, service, target } = plan;
    return {
        ...end,
        attempts: attempts.placementCount,
        class: route.name,
        confirmedAgeMs: plan.confirmedAgeMs,
        detail: end.detail === "" ? undefined : end.detail,
        method,
        path: target,
        placements: attempts.history.read(end.status < FIRST_SERVER_FAILURE && end.outcome === Outcome.Answered),
        requestId,
        revision: plan.revision,
        route: route.name,
        service,
        tenant: plan.tenant?.name,
        version: plan.version,
    };
}
