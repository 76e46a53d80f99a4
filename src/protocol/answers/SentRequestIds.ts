/** Ids of the requests that one connection to a server has carried, in bounded memory. */
import { hashText, invariant } from "../../state/shared/index.js";

/** Four bytes are kept of each. */
const MAXIMUM_SENT_IDS = 1_024;

export class SentRequestIds {
    /** Two ids with one hash are taken for the same, which costs a connection. */
    readonly #hashes = new Uint32Array(MAXIMUM_SENT_IDS);
    #count = 0;

    /** Whether no more ids can be remembered. */
    get isFull(): boolean {
        return this.#count === MAXIMUM_SENT_IDS;
    }

    has(requestId: string): boolean {
        return this.#hashes.subarray(0, this.#count).includes(hashText(requestId, 0));
    }

    add(requestId: string): void {
        invariant(!this.isFull, `the connection has carried more than ${MAXIMUM_SENT_IDS} requests`);
        this.#hashes[this.#count++] = hashText(requestId, 0);
    }
}
