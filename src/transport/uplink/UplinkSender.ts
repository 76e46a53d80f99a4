/** Sends the parts of large answers in the order of their arrival, at the rate that small messages leave of the VM's link. */
import type { LinkPacer } from "../../coordination/scheduling/index.js";
import { LARGE_ANSWER_BYTES } from "../../coordination/scheduling/index.js";
import { LinkTraffic } from "./LinkTraffic.js";

interface WaitingPart {
    readonly bytes: number;
    readonly send: () => void;
    /** Whether its receiver still waits for it; otherwise it takes nothing of the link. */
    readonly isWanted: () => boolean;
}

const isAlwaysWanted = (): boolean => true;

export class UplinkSender {
    /** What the link has carried, as its users record it. */
    readonly traffic = new LinkTraffic();
    readonly #pacer: LinkPacer | undefined;
    readonly #onSmall: (bytes: number) => void;
    readonly #now: () => number;
    readonly #waiting: WaitingPart[] = [];
    #waitingBytes = 0;
    #timer: NodeJS.Timeout | undefined;

    /** Without a pacer, for a fast link, all parts are sent at once. `onSmall` is called for what is sent without waiting. */
    constructor(pacer: LinkPacer | undefined, now: () => number, onSmall: (bytes: number) => void = () => undefined) {
        this.#pacer = pacer;
        this.#onSmall = onSmall;
        this.#now = now;
    }

    /** Bytes of parts that wait. */
    get waitingBytes(): number {
        return this.#waitingBytes;
    }

    get isIdle(): boolean {
        return this.#waiting.length === 0;
    }

    /**
     * Divides a large answer or body into parts between which other messages can be sent; `share` makes them smaller than the
     * largest ones, down to the size of a large answer.
     */
    *generateParts(body: Uint8Array, share = 1): Generator<Uint8Array, void> {
        const largestBytes = this.#pacer?.partBytes ?? Infinity;
        const partBytes = Math.min(largestBytes, Math.max(LARGE_ANSWER_BYTES, Math.floor(largestBytes * share)));
        for (let sent = 0; sent < body.length; sent += partBytes) {
            yield body.subarray(sent, sent + partBytes);
        }
    }

    /** Whether an answer has to be sent in several parts. */
    isDivided(bytes: number): boolean {
        return bytes >= LARGE_ANSWER_BYTES && bytes > (this.#pacer?.partBytes ?? Infinity);
    }

    /** Sends a small answer at once, and a large one after those before it. */
    sendAnswer(bytes: number, send: () => void, isWanted = isAlwaysWanted): void {
        if (bytes < LARGE_ANSWER_BYTES) {
            send();
        }
        else {
            this.sendPart(bytes, send, isWanted);
        }
    }

    /** Sends a part of a large answer after the parts before it; its end is a part without bytes. */
    sendPart(bytes: number, send: () => void, isWanted = isAlwaysWanted): void {
        if (this.#pacer === undefined || this.isIdle && this.#pacer.take(bytes, this.#now())) {
            send();
            return;
        }
        this.#waiting.push({ bytes, isWanted, send });
        this.#waitingBytes += bytes;
        this.#schedule();
    }

    /** Records bytes that don't wait for the link but occupy it: requests, small answers, copies of versions, pings. */
    recordSent(bytes: number): void {
        this.#pacer?.charge(bytes, this.#now());
        this.#onSmall(bytes);
    }

    stop(): void {
        clearTimeout(this.#timer);
        this.#timer = undefined;
        this.#waiting.length = 0;
        this.#waitingBytes = 0;
    }

    #schedule(): void {
        const delayMs = this.#pacer?.estimateDelay(this.#now()) ?? 0;
        this.#timer ??= setTimeout(() => {
            this.#timer = undefined;
            this.#sendWaiting();
        }, delayMs);
    }

    #sendWaiting(): void {
        for (;;) {
            const part = this.#waiting[0];
            if (part === undefined) {
                return;
            }
            if (part.isWanted() && this.#pacer?.take(part.bytes, this.#now()) === false) {
                this.#schedule();
                return;
            }
            this.#waiting.shift();
            this.#waitingBytes -= part.bytes;
            part.send();
        }
    }
}
