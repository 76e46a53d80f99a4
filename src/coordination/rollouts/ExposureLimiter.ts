/**
 * Limits the requests of one service that this daemon places at servers on trial to a share of all that it sends there.
 *
 * The credit begins at a random part of one placement, so that the sum over many daemons with few requests each is the
 * share, not less: with 70 daemons and 25 requests a second no daemon would place a single one otherwise.
 */
import type { Random } from "../../state/shared/index.js";
import { MAXIMUM_CREDIT } from "./RolloutConstants.js";

export class ExposureLimiter {
    readonly #share: number;
    #credit: number;
    #sent = 0;
    #sentToCandidates = 0;

    constructor(share: number, random: Random) {
        this.#share = share;
        this.#credit = random();
    }

    /** Whether a request may be placed at a candidate within the share of this daemon, itself counted. */
    get isAllowed(): boolean {
        return this.#credit + this.#share >= 1;
    }

    get sent(): number {
        return this.#sent;
    }

    get sentToCandidates(): number {
        return this.#sentToCandidates;
    }

    /** Counts a request that is sent; one that uses a candidate's slack costs no credit. */
    recordSent(isCandidate: boolean, usesSlack: boolean): void {
        this.#sent++;
        this.#credit = Math.min(MAXIMUM_CREDIT, this.#credit + this.#share);
        if (isCandidate) {
            this.#sentToCandidates++;
            this.#credit -= usesSlack ? 0 : 1;
        }
    }

    /** Takes back a request that has certainly not run, so that it reached no server. */
    recordRefused(isCandidate: boolean, usesSlack: boolean): void {
        this.#sent--;
        this.#credit -= this.#share;
        if (isCandidate) {
            this.#sentToCandidates--;
            this.#credit = Math.min(MAXIMUM_CREDIT, this.#credit + (usesSlack ? 0 : 1));
        }
    }
}
