import type { IncomingMessage, ServerResponse } from "node:http";
import { matchRoute } from "../../coordination/routing/index.js";
import { copyRequestHeaders } from "../../protocol/framing/index.js";
import {
    CLAIM_FORWARDING_PATH,
    EXECUTION_ONCE,
    formatLoadReport,
    IDEMPOTENCY_KEY_HEADER,
    LEASE_RENEWAL_PATH,
    MeshHeader,
    parseDeadlineMs,
    RefusalReason,
    verifyRelayToken,
} from "../../protocol/request/index.js";
import type { ConfigurationInForce } from "../../state/view/index.js";
import { buildRefusal } from "./AttemptResult.js";
import type { AttemptResult } from "./AttemptResult.js";
import { Exchange } from "./Exchange.js";
import { answerForwardedClaim } from "./ForwardedClaimHandler.js";
import { executeOnce } from "./KeyedExecution.js";
import { answerLeaseRenewal } from "./LeaseRenewalHandler.js";
import { executeLocally } from "./LocalExecution.js";
import type { ServerRequest } from "./LocalExecution.js";
import { appendConnectionClose, sendResult } from "./PlainAnswer.js";
import { DEFAULT_RELAY_DEADLINE_MS } from "./ProxyConstants.js";
import type { ProxyContext } from "./ProxyContext.js";
import { receiveBody } from "./RequestBody.js";
import { parseTarget } from "./RequestPlan.js";

/** Handles a request on the relay port: one for the local server, a lease renewal, or a forwarded claim. */
export async function handleRelayRequest(
    context: ProxyContext,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const { options, ownServer } = context;
    const attempt = readHeader(request, MeshHeader.Attempt);
    const exchange = new Exchange(request, response, options.now(), context.deadlines, (headers, outcome) => {
        headers.push(MeshHeader.Outcome, outcome, MeshHeader.Load, formatLoadReport(ownServer.readLoad(options.now())));
        if (attempt !== undefined) {
            headers.push(MeshHeader.Attempt, attempt);
        }
        appendConnectionClose(context, request, headers);
    });
    const result = await handleVerifiedRequest(context, exchange);
    if (result !== undefined) {
        sendResult(exchange, result);
    }
    exchange.finish();
}

async function handleVerifiedRequest(context: ProxyContext, exchange: Exchange): Promise<AttemptResult | undefined> {
    const { options } = context;
    const { request } = exchange;
    if (!verifyRelayToken(request.headers[MeshHeader.Token], context.relayToken)) {
        options.log("warn", "proxy: refused a request on the relay port without a valid token.", {
            remote: request.socket.remoteAddress,
        });
        return buildRefusal(RefusalReason.Forbidden, "the request does not come from a member of the mesh");
    }
    const target = readHeader(request, MeshHeader.Target);
    if (target === undefined && request.url === LEASE_RENEWAL_PATH) {
        await answerLeaseRenewal(context, exchange);
        return undefined;
    }
    if (target === undefined && request.url === CLAIM_FORWARDING_PATH) {
        await answerForwardedClaim(context, exchange);
        return undefined;
    }
    if (target !== options.selfId) {
        return buildRefusal(RefusalReason.Misdirected, `this daemon is ${options.selfId}`);
    }
    if (context.isStopping()) {
        return buildRefusal(RefusalReason.Stopping, "this daemon is stopping");
    }
    const remainingMs = parseDeadlineMs(request.headers[MeshHeader.Deadline]) ?? DEFAULT_RELAY_DEADLINE_MS;
    exchange.setDeadline(exchange.receivedAt + remainingMs);
    // The entry daemon has checked the size against the limit of the route.
    const refusal = await receiveBody(exchange, Number.POSITIVE_INFINITY);
    return refusal ?? executeForDaemon(context, exchange);
}

function executeForDaemon(context: ProxyContext, exchange: Exchange): Promise<AttemptResult> {
    const { request } = exchange;
    const { configuration } = context.options.readView();
    if (configuration === undefined) {
        return Promise.resolve(
            buildRefusal(RefusalReason.Unsettled, "no configuration is in force on this daemon yet"),
        );
    }
    const version = readVersion(request);
    if (version !== undefined && version < configuration.version && !isStillRouted(request, configuration)) {
        const detail = `version ${configuration.version} doesn't lead the request here as version ${version} does`;
        return Promise.resolve(buildRefusal(RefusalReason.Outdated, detail));
    }
    const serverRequest: ServerRequest = {
        exchange,
        method: request.method ?? "",
        target: request.url ?? "/",
        headers: copyRequestHeaders(request.rawHeaders),
        service: readHeader(request, MeshHeader.Service) ?? "",
        version,
        class: readHeader(request, MeshHeader.Class) ?? "",
        // Answers by which the server declines go to the entry daemon, which decides on a retry.
        shouldWithhold: () => false,
    };
    if (request.headers[MeshHeader.Execution] !== EXECUTION_ONCE) {
        return executeLocally(context, serverRequest);
    }
    const key = readHeader(request, IDEMPOTENCY_KEY_HEADER);
    return key === undefined
        ? Promise.resolve(buildRefusal(RefusalReason.MissingKey, "the relayed request has no key"))
        : executeOnce(context, serverRequest, key);
}

/** Whether a version newer than the one that chose the service leads a request there, and lets it run in this way. */
function isStillRouted(request: IncomingMessage, { document }: ConfigurationInForce): boolean {
    const target = parseTarget(request);
    const route = target === undefined ? undefined : matchRoute(document, target.query);
    const isOnce = request.headers[MeshHeader.Execution] === EXECUTION_ONCE;
    return route?.service === readHeader(request, MeshHeader.Service) && (isOnce || route?.repeatable === true);
}

function readVersion(request: IncomingMessage): number | undefined {
    const version = Number(readHeader(request, MeshHeader.Version));
    return Number.isSafeInteger(version) ? version : undefined;
}

function readHeader(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return typeof value === "string" ? value : undefined;
}
