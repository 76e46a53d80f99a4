/** Plans how a daemon finds out whether its version is still the newest: from the other daemons first, then from the store. */

export const RenewalStepKind = {
    /** Other daemons are asked for their confirmations. */
    AskDaemons: "askDaemons",
    /** The store is read. */
    ReadStore: "readStore",
} as const;
export type RenewalStepKind = (typeof RenewalStepKind)[keyof typeof RenewalStepKind];

export type RenewalStep =
    | {
        readonly kind: typeof RenewalStepKind.AskDaemons;
        /** Time for their answers. */
        readonly waitMs: number;
    }
    | { readonly kind: typeof RenewalStepKind.ReadStore; };

/** Covers a round trip between regions. */
const FIRST_WAIT_MS = 60;
/** Longer waits would spread the answer of the first daemon that has read the store too slowly. */
const MAXIMUM_WAIT_MS = 120;
const MAXIMUM_STORE_READS = 2;

/**
 * Yields the steps of a renewal until the store has left a reading without an answer, or has refused two; it is resumed
 * with whether the last step was answered. The store is first read after `storeTurnMs`, by which the daemons of a large mesh
 * stay within its rate; meanwhile those that have read it tell the others when asked.
 */
export function* generateRenewalSteps(storeTurnMs: number): Generator<RenewalStep, void, boolean> {
    let waitedMs = 0;
    let waitMs = FIRST_WAIT_MS;
    for (let reads = 0; reads < MAXIMUM_STORE_READS;) {
        yield { kind: RenewalStepKind.AskDaemons, waitMs };
        waitedMs += waitMs;
        waitMs = Math.min(2 * waitMs, MAXIMUM_WAIT_MS);
        if (waitedMs >= storeTurnMs) {
            reads++;
            const isAnswered = yield { kind: RenewalStepKind.ReadStore };
            if (!isAnswered) {
                return;
            }
        }
    }
}
