import type { AdmissionRefusal, AdmissionRequest } from "../../coordination/admission/index.js";
import { appendDeadline, MeshHeader, Outcome, RefusalReason } from "../../protocol/request/index.js";
import type { ClassSettings } from "../../state/document/index.js";
import type { ServerRecord } from "../../state/members/index.js";
import type { AnswerCapture } from "./AnswerCapture.js";
import { AttemptHandler } from "./AttemptHandler.js";
import type { AnswerDecision } from "./AttemptHandler.js";
import { buildRefusal, NO_ANSWER_STATUS } from "./AttemptResult.js";
import type { AttemptResult } from "./AttemptResult.js";
import { describeInterruption } from "./Exchange.js";
import type { Exchange } from "./Exchange.js";
import type { ProxyContext } from "./ProxyContext.js";
import { openBody } from "./RequestBody.js";

/** A request for one server of a service. */
export interface ServerRequest {
    readonly exchange: Exchange;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    /** Headers to forward; names and values alternate. */
    readonly headers: readonly string[];
    readonly service: string;
    /** Version of the configuration that chose the service; undefined when the daemon that relayed it didn't say. */
    readonly version: number | undefined;
    readonly class: string;
    /** Whether to withhold an answer with this status from the caller, because a retry was taken. */
    readonly shouldWithhold: (status: number) => boolean;
    readonly capture?: AnswerCapture;
}

const FIRST_SERVER_ERROR_STATUS = 500;
const DEFAULT_CLASS: Omit<ClassSettings, "name"> = { weight: 1, maximumShare: 1 };

/** Executes a request at the local backend server: waits for a slot, sends the request, and releases the slot. */
export async function executeLocally(context: ProxyContext, request: ServerRequest): Promise<AttemptResult> {
    const { ownServer, options } = context;
    const record = ownServer.readRecord();
    if (record === undefined || record.service !== request.service) {
        return buildRefusal(RefusalReason.Misdirected, `this daemon has no server of service ${request.service}`);
    }
    if (!ownServer.isAccepting()) {
        return buildRefusal(RefusalReason.ServerLeaving, "the server takes no new requests");
    }
    const refusal = await waitForSlot(context, request);
    if (refusal !== undefined) {
        return refusal;
    }
    const startedAt = options.now();
    let result: AttemptResult;
    try {
        result = await sendToServer(context, record, request);
    }
    finally {
        const now = options.now();
        ownServer.admission.complete(request.class, now - startedAt, now);
    }
    if (result.kind === "not-run" && result.reason === RefusalReason.ServerUnreachable) {
        options.reportServerFailure?.(result.detail);
    }
    else {
        ownServer.recordResult(options.now(), result.kind === "answered" && result.status < FIRST_SERVER_ERROR_STATUS);
    }
    return result;
}

/** Waits for a slot; returns a refusal when none was granted. */
function waitForSlot(context: ProxyContext, request: ServerRequest): Promise<AttemptResult | undefined> {
    const { admission } = context.ownServer;
    const { exchange } = request;
    const now = context.options.now();
    const document = context.options.readView().configuration?.document;
    const settings = document?.classes[request.class] ?? DEFAULT_CLASS;
    const queueMs = context.ownServer.readSettings()?.queue.deadlineMs ?? 0;
    const deadline = Math.min(exchange.deadline, now + queueMs);
    return new Promise(resolve => {
        const finish = (result: AttemptResult | undefined): void => {
            removeExpiry?.();
            exchange.onInterrupt = undefined;
            exchange.queuedMs += context.options.now() - now;
            resolve(result);
        };
        const admissionRequest: AdmissionRequest = {
            class: request.class,
            weight: settings.weight,
            maximumShare: settings.maximumShare,
            deadline,
            onGrant: () => {
                finish(undefined);
            },
            onRefuse: refusal => {
                finish(describeRefusal(refusal));
            },
        };
        let removeExpiry: (() => void) | undefined;
        if (exchange.interruption !== undefined) {
            finish(describeInterruption(exchange.interruption, false));
            return;
        }
        const decision = admission.admit(admissionRequest, now);
        switch (decision.kind) {
            case "granted":
                finish(undefined);
                return;
            case "refused":
                finish(describeRefusal(decision.refusal));
                return;
            case "queued":
                removeExpiry = context.deadlines.register(deadline, () => {
                    admission.dispatch(context.options.now());
                });
                exchange.onInterrupt = cause => {
                    admission.cancel(admissionRequest);
                    finish(describeInterruption(cause, false));
                };
        }
    });
}

function describeRefusal(refusal: AdmissionRefusal): AttemptResult {
    switch (refusal.reason) {
        case "class-limit":
            return buildRefusal(
                RefusalReason.ClassLimit,
                "the class uses its share of the slots",
                refusal.retryAfterMs,
            );
        case "deadline":
            return buildRefusal(RefusalReason.Deadline, "no slot became free in time", refusal.retryAfterMs);
        case "overloaded":
            return buildRefusal(RefusalReason.Overloaded, "all slots and queue places are taken", refusal.retryAfterMs);
    }
}

/** Sends a request to a backend server; a slot must have been acquired for it. */
export function sendToServer(
    context: ProxyContext,
    record: ServerRecord,
    request: ServerRequest,
): Promise<AttemptResult> {
    const { exchange } = request;
    const now = context.options.now();
    if (exchange.interruption !== undefined) {
        return Promise.resolve(describeInterruption(exchange.interruption, false));
    }
    const attempt = context.createId();
    const headers = [...request.headers, MeshHeader.Attempt, attempt];
    appendDeadline(headers, exchange.deadline - now);
    const service = context.options.readView().configuration?.document.services[record.service];
    const pool = context.pools.get({
        address: record.address,
        port: record.port,
        connections: record.slots,
        connectTimeoutMs: service?.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
        purpose: "server",
    }, now);
    return new Promise(resolve => {
        const handler = new AttemptHandler({
            exchange,
            unreachableReason: RefusalReason.ServerUnreachable,
            classifyAnswer: (status, answerHeaders) =>
                classifyServerAnswer(request, attempt, status, answerHeaders[MeshHeader.Attempt]),
            ...(request.capture === undefined ? {} : { capture: request.capture }),
        }, resolve);
        pool.dispatch({ method: request.method, path: request.target, headers, body: openBody(exchange) }, handler);
    });
}

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** Servers may omit the attempt's id, but an answer with a different id belongs to another request. */
function classifyServerAnswer(
    request: ServerRequest,
    attempt: string,
    status: number,
    answeredAttempt: string | string[] | undefined,
): AnswerDecision {
    if (answeredAttempt !== undefined && answeredAttempt !== attempt) {
        return {
            kind: "foreign",
            result: {
                kind: "unknown",
                status: NO_ANSWER_STATUS,
                detail: "the server sent the answer of another request",
            },
        };
    }
    return request.shouldWithhold(status)
        ? { kind: "withhold", result: { kind: "withheld", status } }
        : { kind: "deliver", outcome: Outcome.Answered };
}
