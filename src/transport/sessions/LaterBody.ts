/** Bodies that are sent to an owner only after it has offered a slot, so that a refusal costs none of their bytes. */
import { LARGE_ANSWER_BYTES } from "../../coordination/scheduling/index.js";
import { RequestKind } from "../../state/traffic/index.js";
import type { OwnedRequest } from "../ownership/index.js";
import type { UplinkSender } from "../uplink/index.js";

const EMPTY = new Uint8Array(0);
/**
 * Parts of bodies take the link for 10 ms, a fourth of those of answers: small requests to the same server go over the same
 * connection, and wait for the part before them.
 */
const PART_SHARE = 0.25;

/** Splits a large body from an upload; other requests are sent as they are. */
export function splitLaterBody(request: OwnedRequest): OwnedRequest {
    return request.kind === RequestKind.Upload && request.body.length >= LARGE_ANSWER_BYTES
        ? { ...request, body: EMPTY, laterBodyBytes: request.body.length }
        : request;
}

/** Sends a body in parts at the rate of large answers, and then calls `onSent`; stops once `isWanted` is false. */
export function sendLaterBody(
    body: Uint8Array,
    uplink: UplinkSender,
    isWanted: () => boolean,
    sendPart: (part: Uint8Array) => void,
    onSent: () => void,
): void {
    const runIfWanted = (action: () => void) => () => {
        if (isWanted()) {
            action();
        }
    };
    for (const part of uplink.generateParts(body, PART_SHARE)) {
        uplink.sendPart(part.length, runIfWanted(() => sendPart(part)), isWanted);
    }
    uplink.sendPart(0, runIfWanted(onSent), isWanted);
}

/** Body of one request as it arrives at the owner's side. */
export class ArrivingBody {
    readonly #bytes: number;
    #parts: Uint8Array[] = [];
    #receivedBytes = 0;

    constructor(bytes: number) {
        this.#bytes = bytes;
    }

    /** Adds a part; false when the body is longer than was said, so that no memory is taken for it. */
    add(part: Uint8Array): boolean {
        this.#receivedBytes += part.length;
        if (this.#receivedBytes > this.#bytes) {
            this.#parts = [];
            return false;
        }
        this.#parts.push(part);
        return true;
    }

    /** Takes the whole body; undefined when parts of it are missing. */
    take(): Uint8Array | undefined {
        return this.#receivedBytes === this.#bytes ? Buffer.concat(this.#parts) : undefined;
    }
}
