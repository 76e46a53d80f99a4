import {
    formatLoadReport,
    LEASE_MESSAGE_MAXIMUM_BYTES,
    MeshHeader,
    parseLeaseRenewal,
    RefusalReason,
} from "../../protocol/request/index.js";
import { buildRefusal } from "./AttemptResult.js";
import type { Exchange } from "./Exchange.js";
import { sendResult } from "./PlainAnswer.js";
import { LEASE_RENEWAL_TIMEOUT_MS } from "./ProxyConstants.js";
import type { ProxyContext } from "./ProxyContext.js";
import { receiveBody } from "./RequestBody.js";

const OK_STATUS = 200;

/** Handles a lease renewal on the owner's side and answers with the number of granted slots. */
export async function answerLeaseRenewal(context: ProxyContext, exchange: Exchange): Promise<void> {
    exchange.setDeadline(exchange.receivedAt + LEASE_RENEWAL_TIMEOUT_MS);
    const refusal = await receiveBody(exchange, LEASE_MESSAGE_MAXIMUM_BYTES);
    const renewal = exchange.body.kind === "buffered" ? parseLeaseRenewal(exchange.body.bytes.toString()) : undefined;
    if (refusal !== undefined || renewal === undefined) {
        sendResult(exchange, refusal ?? buildRefusal(RefusalReason.BadRequest, "the lease renewal is malformed"));
        return;
    }
    const { options, ownServer } = context;
    if (renewal.owner !== options.selfId || renewal.service !== ownServer.readRecord()?.service) {
        sendResult(exchange, buildRefusal(RefusalReason.Misdirected, "the lease renewal is for another server"));
        return;
    }
    const now = options.now();
    const granted = context.isStopping() ? 0 : ownServer.renewLease(renewal, now);
    const text = JSON.stringify({ granted });
    exchange.response.writeHead(OK_STATUS, [
        "content-type",
        "application/json",
        "content-length",
        String(text.length),
        MeshHeader.Load,
        formatLoadReport(ownServer.readLoad(now)),
    ]);
    exchange.response.end(text);
}
