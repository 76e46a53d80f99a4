/** A process that may be paused, slow or ended: what happens to it meanwhile waits, or is lost. */
import type { Timers } from "../../../timers/index.js";
import type { SimulatedClock } from "./SimulatedClock.js";

/** Processor time that events take on a VM with a strong processor, in milliseconds. */
export const EventCost = {
    /** A timer, a message of another daemon, an answer of the store. */
    Small: 0.1,
    /** Reading a request of a caller and answering it. */
    Request: 0.4,
    /** Decompressing, decoding and checking a version. */
    Copy: 3,
} as const;

export class SimulatedProcess {
    readonly #clock: SimulatedClock;
    /** Difference between the steady clock of this process and the simulated one. */
    readonly #originMs: number;
    /** By how much longer each event takes, since the processor is weak. */
    readonly #weakness: number;
    readonly #waiting: { readonly action: () => void; readonly costMs: number; }[] = [];
    #isEnded = false;
    #isDraining = false;
    #pausedUntil = -Infinity;
    #busyUntil = -Infinity;
    #slowness = 1;

    constructor(clock: SimulatedClock, originMs: number, weakness = 1) {
        this.#clock = clock;
        this.#originMs = originMs;
        this.#weakness = weakness;
    }

    get isEnded(): boolean {
        return this.#isEnded;
    }

    get isPaused(): boolean {
        return this.#clock.now < this.#pausedUntil;
    }

    readonly now = (): number => this.#clock.now + this.#originMs;

    readonly timers: Timers = {
        after: (delayMs, action) => {
            let isCancelled = false;
            const cancel = this.#clock.schedule(this.#clock.now + delayMs, () =>
                this.handle(() => {
                    if (!isCancelled) {
                        action();
                    }
                }));
            return () => {
                isCancelled = true;
                cancel();
            };
        },
    };

    /** Handles an event now, or once the process is free; it takes `costMs` of a strong processor. */
    handle(action: () => void, costMs: number = EventCost.Small): void {
        if (this.#isEnded) {
            return;
        }
        this.#waiting.push({ action, costMs });
        this.#drain();
    }

    pauseUntil(at: number): void {
        this.#pausedUntil = Math.max(this.#pausedUntil, at);
    }

    /** Sets by how much longer each event takes for a time. */
    setSlowness(factor: number): void {
        this.#slowness = factor;
    }

    end(): void {
        this.#isEnded = true;
        this.#waiting.length = 0;
    }

    #drain(): void {
        if (this.#isDraining) {
            return;
        }
        const freeAt = Math.max(this.#pausedUntil, this.#busyUntil);
        if (freeAt > this.#clock.now) {
            this.#isDraining = true;
            this.#clock.schedule(freeAt, () => {
                this.#isDraining = false;
                this.#drain();
            });
            return;
        }
        const next = this.#waiting.shift();
        if (next !== undefined) {
            this.#busyUntil = this.#clock.now + next.costMs * this.#slowness * this.#weakness;
            next.action();
            this.#drain();
        }
    }
}
