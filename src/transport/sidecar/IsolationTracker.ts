/** Time without any reachable daemon after which this one is not ready, so that callers go elsewhere. */
const ISOLATION_TIMEOUT_MS = 1_500;

/** Tells whether a daemon has been cut off from all others for a while. */
export class IsolationTracker {
    #isolatedSince: number | undefined;

    /** Records whether another daemon can be reached; returns whether none could for too long. */
    update(isConnected: boolean, now: number): boolean {
        this.#isolatedSince = isConnected ? undefined : this.#isolatedSince ?? now;
        return this.#isolatedSince !== undefined && now - this.#isolatedSince >= ISOLATION_TIMEOUT_MS;
    }
}
