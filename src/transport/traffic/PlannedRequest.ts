/** Builds what the owner of a server gets of a request from the plan by which it is forwarded. */
import type { Baseline } from "../../coordination/rollouts/index.js";
import type { Dialect } from "../../protocol/dialect/index.js";
import { copyRequestHeaders } from "../../protocol/framing/index.js";
import type { OwnedRequest } from "../ownership/index.js";
import type { ForwardingPlan } from "./ForwardingPlan.js";

/** Headers that delimit a body; dropped, because the body is forwarded with its own length. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set(["content-length", "transfer-encoding"]);

/** Builds the headers that are forwarded: without those of this connection, and those that the daemon sets or keeps. */
export function buildForwardedHeaders(
    rawHeaders: readonly string[],
    { isSystemHeader }: Pick<Dialect, "isSystemHeader">,
): readonly string[] {
    const copied = copyRequestHeaders(rawHeaders);
    const kept: string[] = [];
    for (let index = 0; index + 1 < copied.length; index += 2) {
        const name = copied[index] as string;
        if (!FRAMING_HEADERS.has(name) && !isSystemHeader(name)) {
            kept.push(name, copied[index + 1] as string);
        }
    }
    return kept;
}

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
