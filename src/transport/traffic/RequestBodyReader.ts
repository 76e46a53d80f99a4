/** Buffers the whole body of a caller's request, within limits, so that a retry can send it again. */
import type { IncomingMessage } from "node:http";
import { BUFFERED_BODIES_LIMIT_BYTES } from "./TrafficConstants.js";

export const BodyReadFault = {
    TooLarge: "too-large",
    MemoryLimit: "no-room",
    CallerDisconnected: "caller-disconnected",
} as const;
export type BodyReadFault = (typeof BodyReadFault)[keyof typeof BodyReadFault];

export type BodyReadResult =
    | { readonly kind: "body"; readonly bytes: Uint8Array; }
    | { readonly kind: BodyReadFault; };

const EMPTY = new Uint8Array(0);

/** Reads request bodies and limits the memory that all of them use together. */
export class RequestBodyReader {
    #bufferedBytes = 0;

    /**
     * Reads a body of at most `limitBytes`, which counts against the memory limit until `release`. `onAccepted` is called before
     * the first byte is read; a body whose stated length is over a limit isn't read.
     */
    async read(request: IncomingMessage, limitBytes: number, onAccepted = () => {}): Promise<BodyReadResult> {
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
        onAccepted();
        const chunks: Buffer[] = [];
        let length = 0;
        let fault: BodyReadFault | undefined;
        try {
            for await (const chunk of request as AsyncIterable<Buffer>) {
                length += chunk.length;
                this.#bufferedBytes += chunk.length;
                chunks.push(chunk);
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
            // The caller disconnected before the end of the body, so no answer is sent.
            fault = BodyReadFault.CallerDisconnected;
        }
        if (fault !== undefined) {
            this.#bufferedBytes -= length;
            return { kind: fault };
        }
        return { bytes: Buffer.concat(chunks), kind: "body" };
    }

    release(bytes: Uint8Array): void {
        this.#bufferedBytes -= bytes.length;
    }
}
