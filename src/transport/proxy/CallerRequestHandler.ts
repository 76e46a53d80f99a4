import type { IncomingMessage, ServerResponse } from "node:http";
import { MeshHeader, RefusalReason, REQUEST_ID_HEADER } from "../../protocol/request/index.js";
import { buildRefusal } from "./AttemptResult.js";
import type { AttemptResult } from "./AttemptResult.js";
import { Exchange } from "./Exchange.js";
import { appendConnectionClose, getOutcome, sendResult } from "./PlainAnswer.js";
import type { ProxyContext } from "./ProxyContext.js";
import { createAttemptSummary, executeKeyed, executeRepeatable } from "./RequestAttempts.js";
import type { AttemptSummary } from "./RequestAttempts.js";
import { receiveBody } from "./RequestBody.js";
import { isRequestPlan, planRequest } from "./RequestPlan.js";
import type { RequestPlan } from "./RequestPlan.js";

/** Handles a caller's request: plans it, executes it, sends the answer, and records the result. */
export async function handleCallerRequest(
    context: ProxyContext,
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
): Promise<void> {
    const { options } = context;
    const requestId = readRequestId(request) ?? context.createId();
    const exchange = new Exchange(request, response, options.now(), context.deadlines, (headers, outcome) => {
        headers.push(MeshHeader.Outcome, outcome, REQUEST_ID_HEADER, requestId);
        appendConnectionClose(context, request, headers);
    });
    const planned = planRequest(request, requestId, options.readView());
    const attempts = createAttemptSummary();
    const result = context.isStopping()
        ? buildRefusal(RefusalReason.Stopping, "this daemon is stopping")
        : isRequestPlan(planned)
        ? await executePlan(context, exchange, planned, attempts, expectsContinue)
        : planned;
    const status = sendResult(exchange, result);
    exchange.finish();
    recordResult(context, exchange, requestId, isRequestPlan(planned) ? planned : undefined, attempts, result, status);
}

async function executePlan(
    context: ProxyContext,
    exchange: Exchange,
    plan: RequestPlan,
    attempts: AttemptSummary,
    expectsContinue: boolean,
): Promise<AttemptResult> {
    exchange.setDeadline(exchange.receivedAt + plan.timeoutMs);
    context.recordRequest(plan.service.name, exchange.receivedAt);
    const contentLength = Number(exchange.request.headers["content-length"] ?? 0);
    if (expectsContinue && contentLength <= plan.route.maximumRequestBytes) {
        exchange.response.writeContinue();
    }
    const refusal = await receiveBody(exchange, plan.route.maximumRequestBytes);
    if (refusal !== undefined) {
        return refusal;
    }
    return plan.key === undefined
        ? executeRepeatable(context, exchange, plan, attempts)
        : executeKeyed(context, exchange, plan, plan.key, attempts);
}

function recordResult(
    context: ProxyContext,
    exchange: Exchange,
    requestId: string,
    plan: RequestPlan | undefined,
    attempts: AttemptSummary,
    result: AttemptResult,
    status: number,
): void {
    const { recorder, now } = context.options;
    const service = plan?.service.name;
    const className = plan?.route.class;
    if (result.kind === "not-run") {
        recorder.count({ kind: "refused", reason: result.reason, service, class: className });
    }
    recorder.record({
        requestId,
        method: exchange.request.method ?? "",
        path: exchange.request.url ?? "",
        route: plan?.route.name,
        service,
        class: className,
        status,
        outcome: getOutcome(result),
        attempts: attempts.count,
        hop: attempts.hop,
        server: attempts.server,
        latencyMs: now() - exchange.receivedAt,
        queuedMs: exchange.queuedMs,
    });
}

const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,128}$/;

function readRequestId(request: IncomingMessage): string | undefined {
    const id = request.headers[REQUEST_ID_HEADER];
    return typeof id === "string" && REQUEST_ID_PATTERN.test(id) ? id : undefined;
}
