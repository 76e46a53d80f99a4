/** Tells whether a daemon has reached no other one for so long that its callers should go elsewhere. */

const ISOLATION_TIMEOUT_MS = 1_500;

export class Isolation {
    #since: number | undefined;

    /** Records whether another daemon can be reached, or there is none; returns whether the daemon is isolated. */
    update(isConnected: boolean, now: number): boolean {
        this.#since = isConnected ? undefined : this.#since ?? now;
        return this.#since !== undefined && now - this.#since >= ISOLATION_TIMEOUT_MS;
    }
}
