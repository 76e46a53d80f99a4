import type { IncomingMessage } from "node:http";
import { Transform } from "node:stream";
import type { TransformCallback } from "node:stream";
import { RefusalReason } from "../../protocol/request/index.js";
import { buildRefusal } from "./AttemptResult.js";
import type { AttemptResult } from "./AttemptResult.js";
import { describeInterruption } from "./Exchange.js";
import type { Exchange } from "./Exchange.js";
import { BUFFERED_BODY_MAXIMUM_BYTES } from "./ProxyConstants.js";

/** Body of a request, as attempts send it. */
export type RequestBody =
    | { readonly kind: "none"; }
    /** Read whole; can be sent any number of times. */
    | { readonly kind: "buffered"; readonly bytes: Buffer; }
    /** Still arriving; can be sent once. */
    | { readonly kind: "streamed"; isConsumed: boolean; readonly maximumBytes: number; };

/**
 * Buffers a small body and leaves a larger one to be streamed. Returns a refusal when the body exceeds the limit
 * or does not arrive in time, so that the request takes no slot.
 */
export async function receiveBody(exchange: Exchange, maximumBytes: number): Promise<AttemptResult | undefined> {
    const { request } = exchange;
    const length = request.headers["content-length"];
    if (length === undefined) {
        if (request.headers["transfer-encoding"] !== undefined) {
            exchange.body = { kind: "streamed", isConsumed: false, maximumBytes };
        }
        return undefined;
    }
    const bytes = Number(length);
    if (bytes > maximumBytes) {
        return buildRefusal(
            RefusalReason.RequestTooLarge,
            `the request body has ${bytes} bytes, the route allows ${maximumBytes}`,
        );
    }
    if (bytes > BUFFERED_BODY_MAXIMUM_BYTES) {
        exchange.body = { kind: "streamed", isConsumed: false, maximumBytes };
        return undefined;
    }
    return bytes === 0 ? undefined : collectBody(exchange);
}

function collectBody(exchange: Exchange): Promise<AttemptResult | undefined> {
    const { request } = exchange;
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        const finish = (result: AttemptResult | undefined): void => {
            exchange.onInterrupt = undefined;
            resolve(result);
        };
        exchange.onInterrupt = cause => {
            finish(describeInterruption(cause, false));
        };
        if (exchange.interruption !== undefined) {
            finish(describeInterruption(exchange.interruption, false));
            return;
        }
        request.on("data", (chunk: Buffer) => {
            chunks.push(chunk);
        });
        request.on("end", () => {
            const [first] = chunks;
            const bytes = chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks);
            exchange.body = { kind: "buffered", bytes };
            finish(undefined);
        });
        request.on("error", () => {
            exchange.interrupt("cancelled");
        });
    });
}

/** Whether another attempt can send the body. */
export function isBodyReplayable(body: RequestBody): boolean {
    return body.kind !== "streamed" || !body.isConsumed;
}

/** Opens the body for one attempt. A failed attempt destroys the returned stream, not the caller's connection. */
export function openBody(exchange: Exchange): Buffer | Transform | null {
    const { body } = exchange;
    switch (body.kind) {
        case "none":
            return null;
        case "buffered":
            return body.bytes;
        case "streamed":
            body.isConsumed = true;
            return streamBody(exchange, body.maximumBytes);
    }
}

function streamBody(exchange: Exchange, maximumBytes: number): Transform {
    const { request } = exchange;
    let received = 0;
    const limited = new Transform({
        transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
            received += chunk.length;
            if (received > maximumBytes) {
                exchange.interrupt("body-too-large");
                done(new Error("request body exceeds the route's limit"));
                return;
            }
            done(null, chunk);
        },
    });
    // The attempt gets the error from undici, which sends this stream.
    limited.on("error", () => {
        request.unpipe(limited);
    });
    request.on("error", error => {
        limited.destroy(error);
    });
    request.pipe(limited);
    return limited;
}

/** Whether a part of the body is unread, so that the connection can't be reused. */
export function hasUnreadBody(request: IncomingMessage): boolean {
    return !request.complete && (request.headers["transfer-encoding"] !== undefined
        || Number(request.headers["content-length"] ?? 0) > 0);
}
