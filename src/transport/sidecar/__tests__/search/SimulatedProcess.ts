/** A process that may be paused, slow or ended: what happens to it meanwhile waits, or is lost. */
import type { Timers } from "../../../timers/index.js";
import type { SimulatedClock } from "./SimulatedClock.js";

/** Processor time that one event takes on a sound VM. */
const EVENT_COST_MS = 0.1;

export class SimulatedProcess {
    readonly #clock: SimulatedClock;
    /** Difference between the steady clock of this process and the simulated one. */
    readonly #originMs: number;
    readonly #waiting: (() => void)[] = [];
    #isEnded = false;
    #isDraining = false;
    #pausedUntil = -Infinity;
    #busyUntil = -Infinity;
    #slowness = 1;

    constructor(clock: SimulatedClock, originMs: number) {
        this.#clock = clock;
        this.#originMs = originMs;
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

    /** Handles an event now, or once the process is free. */
    handle(action: () => void): void {
        if (this.#isEnded) {
            return;
        }
        this.#waiting.push(action);
        this.#drain();
    }

    pauseUntil(at: number): void {
        this.#pausedUntil = Math.max(this.#pausedUntil, at);
    }

    /** Sets by how much longer each event takes. */
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
        const action = this.#waiting.shift();
        if (action !== undefined) {
            this.#busyUntil = this.#clock.now + EVENT_COST_MS * this.#slowness;
            action();
            this.#drain();
        }
    }
}
