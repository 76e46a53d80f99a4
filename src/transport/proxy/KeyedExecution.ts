import type { RecordedAnswer } from "../../coordination/claims/index.js";
import { Outcome, RefusalReason } from "../../protocol/request/index.js";
import { AnswerCapture } from "./AnswerCapture.js";
import { ALREADY_RAN_STATUS, buildRefusal, NO_ANSWER_STATUS } from "./AttemptResult.js";
import type { AttemptResult } from "./AttemptResult.js";
import { describeInterruption } from "./Exchange.js";
import type { Exchange } from "./Exchange.js";
import { executeLocally } from "./LocalExecution.js";
import type { ServerRequest } from "./LocalExecution.js";
import { sendPlainAnswer } from "./PlainAnswer.js";
import type { ProxyContext } from "./ProxyContext.js";

/** Executes a request at the local server under a claim of its key, so that it runs at most once in the mesh. */
export async function executeOnce(
    context: ProxyContext,
    request: ServerRequest,
    key: string,
): Promise<AttemptResult> {
    const { exchange, service } = request;
    const { claims } = context.options;
    const refusal = checkBeforeClaim(context, request);
    if (refusal !== undefined) {
        return refusal;
    }
    const interruption = new AbortController();
    exchange.onInterrupt = () => {
        interruption.abort();
    };
    const claim = await claims.claim(service, key, exchange.deadline, interruption.signal);
    exchange.onInterrupt = undefined;
    switch (claim.kind) {
        case "granted":
            return executeUnderClaim(context, request, key, claim.attempt);
        case "answered":
            return sendRecordedAnswer(exchange, claim.answer);
        case "already-ran":
            sendPlainAnswer(exchange, ALREADY_RAN_STATUS, Outcome.AlreadyRan, "The request ran before.\n");
            return { kind: "answered", status: ALREADY_RAN_STATUS, outcome: Outcome.AlreadyRan };
        case "unknown":
            return { kind: "unknown", status: NO_ANSWER_STATUS, detail: claim.detail };
        case "refused":
            return exchange.interruption === undefined
                ? buildRefusal(RefusalReason.ClaimRefused, claim.detail)
                : describeInterruption(exchange.interruption, false);
    }
}

/** Refuses before the claim what admission would refuse after it, which saves a write to the store. */
function checkBeforeClaim(context: ProxyContext, request: ServerRequest): AttemptResult | undefined {
    const { ownServer, options } = context;
    if (ownServer.readRecord()?.service !== request.service) {
        return buildRefusal(RefusalReason.Misdirected, `this daemon has no server of service ${request.service}`);
    }
    if (!ownServer.isAccepting()) {
        return buildRefusal(RefusalReason.ServerLeaving, "the server takes no new requests");
    }
    const weight = options.readView().configuration?.document.classes[request.class]?.weight ?? 1;
    return ownServer.admission.isFull(request.class, weight, options.now())
        ? buildRefusal(RefusalReason.Overloaded, "all slots and queue places are taken")
        : undefined;
}

async function executeUnderClaim(
    context: ProxyContext,
    request: ServerRequest,
    key: string,
    attempt: string,
): Promise<AttemptResult> {
    const { claims, readView } = context.options;
    const capture = new AnswerCapture(readView().configuration?.document.mesh.claims.answerBytes ?? 0);
    const result = await executeLocally(context, { ...request, capture, shouldWithhold: () => false });
    if (result.kind === "not-run") {
        await claims.release(request.service, key, attempt);
    }
    else if (capture.hasStarted) {
        await claims.complete(request.service, key, attempt, capture.read());
    }
    else {
        await claims.abandon(request.service, key, attempt);
    }
    return result;
}

/** Sends the recorded answer of the first execution. */
function sendRecordedAnswer(exchange: Exchange, answer: RecordedAnswer): AttemptResult {
    const headers = answer.headers.flat();
    exchange.appendAnswerHeaders(headers, Outcome.Replayed);
    exchange.response.writeHead(answer.status, headers);
    exchange.response.end(answer.body);
    return { kind: "answered", status: answer.status, outcome: Outcome.Replayed };
}
