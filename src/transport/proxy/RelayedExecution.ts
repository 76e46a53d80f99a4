import type { IncomingHttpHeaders } from "node:http";
import {
    appendDeadline,
    EXECUTION_ONCE,
    MeshHeader,
    Outcome,
    parseLoadReport,
    parseOutcome,
    parseRefusalReason,
    RefusalReason,
} from "../../protocol/request/index.js";
import type { Member } from "../../state/members/index.js";
import { AttemptHandler } from "./AttemptHandler.js";
import type { AnswerDecision } from "./AttemptHandler.js";
import { buildRefusal, NO_ANSWER_STATUS } from "./AttemptResult.js";
import type { AttemptResult } from "./AttemptResult.js";
import { describeInterruption } from "./Exchange.js";
import type { ServerRequest } from "./LocalExecution.js";
import {
    RELAY_CONNECT_TIMEOUT_MS,
    RELAY_DEADLINE_MARGIN_BETWEEN_REGIONS_MS,
    RELAY_DEADLINE_MARGIN_MS,
    RELAY_MAXIMUM_CONNECTIONS,
} from "./ProxyConstants.js";
import type { ProxyContext } from "./ProxyContext.js";
import { openBody } from "./RequestBody.js";

const MS_PER_SECOND = 1_000;

/** Relays a request to the owner of a server; `isOnce` executes it there under a claim of its key. */
export function relayToOwner(
    context: ProxyContext,
    owner: Member,
    request: ServerRequest,
    isOnce: boolean,
): Promise<AttemptResult> {
    const { exchange } = request;
    const now = context.options.now();
    if (exchange.interruption !== undefined) {
        return Promise.resolve(describeInterruption(exchange.interruption, false));
    }
    const attempt = context.createId();
    const pool = context.pools.get({
        address: owner.address,
        port: owner.relayPort,
        connections: RELAY_MAXIMUM_CONNECTIONS,
        connectTimeoutMs: RELAY_CONNECT_TIMEOUT_MS,
        purpose: "relay",
    }, now);
    return new Promise(resolve => {
        const handler = new AttemptHandler({
            exchange,
            unreachableReason: RefusalReason.DaemonUnreachable,
            classifyAnswer: (status, headers) => classifyOwnerAnswer(context, owner, request, attempt, status, headers),
        }, resolve);
        pool.dispatch({
            method: request.method,
            path: request.target,
            headers: buildRelayHeaders(context, owner, request, attempt, isOnce),
            body: openBody(exchange),
        }, handler);
    });
}

function buildRelayHeaders(
    context: ProxyContext,
    owner: Member,
    request: ServerRequest,
    attempt: string,
    isOnce: boolean,
): string[] {
    const marginMs = owner.region === context.options.region
        ? RELAY_DEADLINE_MARGIN_MS
        : RELAY_DEADLINE_MARGIN_BETWEEN_REGIONS_MS;
    const remainingMs = request.exchange.deadline - context.options.now();
    const headers = [
        ...request.headers,
        MeshHeader.Token,
        context.relayToken,
        MeshHeader.Target,
        owner.id,
        MeshHeader.Attempt,
        attempt,
        MeshHeader.Service,
        request.service,
        MeshHeader.Class,
        request.class,
    ];
    appendDeadline(headers, Math.max(remainingMs / 2, remainingMs - marginMs));
    if (request.version !== undefined) {
        headers.push(MeshHeader.Version, String(request.version));
    }
    if (isOnce) {
        headers.push(MeshHeader.Execution, EXECUTION_ONCE);
    }
    return headers;
}

/** Classifies an owner's answer by its mesh headers; with another attempt's id, or none, it answers another request. */
function classifyOwnerAnswer(
    context: ProxyContext,
    owner: Member,
    request: ServerRequest,
    attempt: string,
    status: number,
    headers: IncomingHttpHeaders,
): AnswerDecision {
    if (headers[MeshHeader.Attempt] !== attempt) {
        const detail = `daemon ${owner.id} sent the answer of another request`;
        return { kind: "foreign", result: { kind: "unknown", status: NO_ANSWER_STATUS, detail } };
    }
    const load = parseLoadReport(readHeader(headers, MeshHeader.Load));
    if (load !== undefined) {
        context.balancer.recordLoad(owner.id, load, context.options.now());
    }
    const outcome = parseOutcome(readHeader(headers, MeshHeader.Outcome));
    switch (outcome) {
        case undefined:
            return buildWithheldDecision({
                kind: "unknown",
                status: NO_ANSWER_STATUS,
                detail: `daemon ${owner.id} did not state the outcome`,
            });
        case Outcome.NotRun: {
            const reason = parseRefusalReason(readHeader(headers, MeshHeader.Reason)) ?? RefusalReason.NoServer;
            const retryAfter = Number(headers["retry-after"]);
            return buildWithheldDecision(
                Number.isFinite(retryAfter)
                    ? buildRefusal(reason, `refused by daemon ${owner.id}`, retryAfter * MS_PER_SECOND)
                    : buildRefusal(reason, `refused by daemon ${owner.id}`),
            );
        }
        case Outcome.Unknown:
            return buildWithheldDecision({
                kind: "unknown",
                status,
                detail: `daemon ${owner.id} got no answer from its server`,
            });
        default:
            return request.shouldWithhold(status)
                ? buildWithheldDecision({ kind: "withheld", status })
                : { kind: "deliver", outcome };
    }
}

function buildWithheldDecision(result: AttemptResult): AnswerDecision {
    return { kind: "withhold", result };
}

function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
    const value = headers[name];
    return typeof value === "string" ? value : undefined;
}
