import { CLAIM_MESSAGE_MAXIMUM_BYTES, RefusalReason } from "../../protocol/request/index.js";
import { buildRefusal } from "./AttemptResult.js";
import type { Exchange } from "./Exchange.js";
import { sendResult } from "./PlainAnswer.js";
import { FORWARDED_CLAIM_TIMEOUT_MS } from "./ProxyConstants.js";
import type { ProxyContext } from "./ProxyContext.js";
import { receiveBody } from "./RequestBody.js";

const OK_STATUS = 200;

/** Handles a claim operation that another daemon forwarded: commits it and answers with its result. */
export async function answerForwardedClaim(context: ProxyContext, exchange: Exchange): Promise<void> {
    exchange.setDeadline(exchange.receivedAt + FORWARDED_CLAIM_TIMEOUT_MS);
    const refusal = await receiveBody(exchange, CLAIM_MESSAGE_MAXIMUM_BYTES);
    const { handleForwardedClaim } = context.options;
    const pending = exchange.body.kind === "buffered" && !context.isStopping()
        ? handleForwardedClaim?.(exchange.body.bytes.toString())
        : undefined;
    if (refusal !== undefined || pending === undefined) {
        sendResult(exchange, refusal ?? buildRefusal(RefusalReason.BadRequest, "the claim is not taken here"));
        return;
    }
    const text = await pending;
    if (exchange.response.headersSent || exchange.response.destroyed) {
        return;
    }
    exchange.response.writeHead(OK_STATUS, [
        "content-type",
        "application/json",
        "content-length",
        String(Buffer.byteLength(text)),
    ]);
    exchange.response.end(text);
}
