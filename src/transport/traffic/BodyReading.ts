/** Reads the whole body of a caller's request, within limits, so that it can be sent again. */
import type { IncomingMessage } from "node:http";
import { HELD_BODIES_LIMIT_BYTES } from "./TrafficConstants.js";

export const BodyFault = { TooLarge: "too-large", NoRoom: "no-room", Left: "left" } as const;
export type BodyFault = (typeof BodyFault)[keyof typeof BodyFault];

export type BodyResult =
    | { readonly kind: "body"; readonly bytes: Uint8Array; }
    | { readonly kind: BodyFault; };

const EMPTY = new Uint8Array(0);

/** Bodies held by one daemon at present. */
export class BodyStore {
    #heldBytes = 0;

    /** Reads a body of at most `limitBytes`; what it holds is counted until `release`. */
    async read(request: IncomingMessage, limitBytes: number): Promise<BodyResult> {
        const stated = Number(request.headers["content-length"] ?? 0);
        if (stated > limitBytes) {
            return { kind: BodyFault.TooLarge };
        }
        if (stated === 0 && request.headers["transfer-encoding"] === undefined) {
            return { bytes: EMPTY, kind: "body" };
        }
        if (this.#heldBytes + stated > HELD_BODIES_LIMIT_BYTES) {
            return { kind: BodyFault.NoRoom };
        }
        const parts: Buffer[] = [];
        let length = 0;
        let fault: BodyFault | undefined;
        try {
            for await (const part of request as AsyncIterable<Buffer>) {
                length += part.length;
                this.#heldBytes += part.length;
                parts.push(part);
                if (length > limitBytes) {
                    fault = BodyFault.TooLarge;
                }
                else if (this.#heldBytes > HELD_BODIES_LIMIT_BYTES) {
                    fault = BodyFault.NoRoom;
                }
                if (fault !== undefined) {
                    break;
                }
            }
        }
        catch {
            // The caller's connection ended within the body; nobody waits for an answer.
            fault = BodyFault.Left;
        }
        if (fault !== undefined) {
            this.#heldBytes -= length;
            return { kind: fault };
        }
        return { bytes: Buffer.concat(parts), kind: "body" };
    }

    release(bytes: Uint8Array): void {
        this.#heldBytes -= bytes.length;
    }
}
