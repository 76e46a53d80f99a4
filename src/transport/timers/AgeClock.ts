/**
 * Clock for ages that must not be younger than they are. The steady clock of a suspended VM stands still, so what the time
 * of day has advanced beyond it counts as well. A step of the time of day ahead counts too: ages are too old after it.
 */

export interface AgeClockOptions {
    /** Steady clock, in milliseconds. */
    readonly now: () => number;
    /** Unix milliseconds. */
    readonly readWallClock: () => number;
    /** Called with the time that the steady clock has not counted. */
    onLost(ms: number): void;
}

/** Time that the steady clock has not counted, and when that was noticed, by the steady clock. */
interface Loss {
    readonly noticedAt: number;
    readonly ms: number;
}

/** Difference between the clocks that is taken for their resolution and drift; well below the margin of a lease. */
const TOLERANCE_MS = 50;
/** Losses that are kept; what is older than them is older than any message in flight. */
const MAXIMUM_LOSSES = 16;

export class AgeClock {
    readonly #options: AgeClockOptions;
    /** Smallest lead of the time of day over the steady clock since the last loss. */
    #leadMs: number;
    #lostMs = 0;
    #losses: readonly Loss[] = [];

    constructor(options: AgeClockOptions) {
        this.#options = options;
        this.#leadMs = options.readWallClock() - options.now();
    }

    /** Returns milliseconds since any origin: at least as many go by as by the steady clock and by the time of day. */
    readonly now = (): number => {
        const steady = this.#observe();
        return steady + this.#lostMs;
    };

    /** Returns the time since a time of the steady clock. */
    readonly measureSince = (steadyAt: number): number => {
        const steady = this.#observe();
        return this.#losses.filter(({ noticedAt }) => noticedAt >= steadyAt)
            .reduce((sum, { ms }) => sum + ms, steady - steadyAt);
    };

    /** Notices a loss, and returns the time by the steady clock. */
    #observe(): number {
        const { now, onLost, readWallClock } = this.#options;
        const steady = now();
        const leadMs = readWallClock() - steady;
        const lostMs = leadMs - this.#leadMs;
        if (lostMs <= TOLERANCE_MS) {
            this.#leadMs = Math.min(this.#leadMs, leadMs);
            return steady;
        }
        this.#leadMs = leadMs;
        this.#lostMs += lostMs;
        this.#losses = [...this.#losses.slice(1 - MAXIMUM_LOSSES), { ms: lostMs, noticedAt: steady }];
        onLost(lostMs);
        return steady;
    }
}
