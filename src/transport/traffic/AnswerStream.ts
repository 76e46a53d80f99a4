/** State of an answer that is passed on to the caller while it arrives. */
import type { Attempt } from "./RequestAttempts.js";

export class AnswerStream {
    #lastDataAt = -Infinity;
    #receivedBytes = 0;
    readonly #statedBytes: number | undefined;

    /** `statedBytes` is the length in the head of the answer; undefined when it states none. */
    constructor(readonly attempt: Attempt, statedBytes: number | undefined) {
        this.#statedBytes = statedBytes;
    }

    /** Whether more bytes have come than the head states. */
    get isTooLong(): boolean {
        return this.#receivedBytes > (this.#statedBytes ?? Infinity);
    }

    /** Whether as many bytes have come as the head states; always true when it states no length. */
    get isWhole(): boolean {
        return this.#statedBytes === undefined || this.#receivedBytes === this.#statedBytes;
    }

    /** Time at which the last part has come; -Infinity before the first. */
    get lastDataAt(): number {
        return this.#lastDataAt;
    }

    get receivedBytes(): number {
        return this.#receivedBytes;
    }

    recordData(bytes: number, now: number): void {
        this.#receivedBytes += bytes;
        this.#lastDataAt = now;
    }

    describeLength(): string {
        return `the answer states a length of ${this.#statedBytes}, but ${this.#receivedBytes} bytes of it have come`;
    }
}
