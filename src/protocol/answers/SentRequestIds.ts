/** Ids of the requests that one connection to a server has carried, in bounded memory. */
import { hashText } from "../../state/shared/index.js";

/** Four bytes are kept of each. */
const MAXIMUM_SENT_IDS = 1_024;

export class SentRequestIds {
    /** Two ids with one hash are taken for the same, which harms no request. */
    readonly #hashes = new Uint32Array(MAXIMUM_SENT_IDS);
    #count = 0;

    has(requestId: string): boolean {
        return this.#hashes.subarray(0, this.#count).includes(hashText(requestId, 0));
    }

    /** Adds an id; beyond the maximum, the oldest ones are forgotten. */
    add(requestId: string): void {
        if (this.#count === MAXIMUM_SENT_IDS) {
            this.#hashes.copyWithin(0, 1);
            this.#count--;
        }
        this.#hashes[this.#count++] = hashText(requestId, 0);
    }
}
