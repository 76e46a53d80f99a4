/** Reads the whole body of a caller's request, within limits, so that it can be sent again. */
import type { IncomingMessage } from "node:http";
import { BUFFERED_BODIES_LIMIT_BYTES } from "./TrafficConstants.js";

export const BodyReadFault = { TooLarge: "too-large", MemoryLimit: "no-room", CallerDisconnected: "left" } as const;
export type BodyReadFault = (typeof BodyReadFault)[keyof typeof BodyReadFault];

export type BodyReadResult =
    | { readonly kind: "body"; readonly bytes: Uint8Array; }
    | { readonly kind: BodyReadFault; };

const EMPTY = new Uint8Array(0);

/** Bodies held by one daemon at present. */
export class RequestBodyReader {
    #bufferedBytes = 0;

    /** Reads a body of at most `limitBytes`; what it holds is counted until `release`. */
    async read(request: IncomingMessage, limitBytes: number): Promise<BodyReadResult> {
        const contentLength = Number(request.headers["content-length"] ?? 0);
        if (contentLength > limitBytes) {
            return { kind: BodyReadFault.TooLarge };
        }
        if (contentLength === 0 && request.headers["transfer-encoding"] === undefined) {
            return { bytes: EMPTY, kind: "body" };
        }
        if (this.#bufferedBytes + contentLength > BUFFERED_BODIES_LIMIT_BYTES) {
            return { kind: BodyReadFault.MemoryLimit };
        }
        const parts: Buffer[] = [];
        let length = 0;
        let fault: BodyReadFault | undefined;
        try {
            for await (const part of request as AsyncIterable<Buffer>) {
                length += part.length;
                this.#bufferedBytes += part.length;
                parts.push(part);
                if (length > limitBytes) {
                    fault = BodyReadFault.TooLarge;
                }
                else if (this.#bufferedBytes > BUFFERED_BODIES_LIMIT_BYTES) {
                    fault = BodyReadFault.MemoryLimit;
                }
                if (fault !== undefined) {
                    break;
                }
            }
        }
        catch {
            // The caller's connection ended within the body; nobody waits for an answer.
            fault = BodyReadFault.CallerDisconnected;
        }
        if (fault !== undefined) {
            this.#bufferedBytes -= length;
            return { kind: fault };
        }
        return { bytes: Buffer.concat(parts), kind: "body" };
    }

    release(bytes: Uint8Array): void {
        this.#bufferedBytes -= bytes.length;
    }
}
