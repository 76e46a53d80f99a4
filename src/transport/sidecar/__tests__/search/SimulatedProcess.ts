/** A process that may be paused, suspended, slow or ended: what happens to it meanwhile waits, or is lost. */
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

/** Largest error of times that are computed differently. */
const TIMER_RESOLUTION_MS = 1e-6;

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
    #timeOfDayErrorMs = 0;
    /** Times that the steady clock doesn't count, in order. */
    readonly #suspensions: { readonly from: number; readonly to: number; }[] = [];

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

    /** Steady clock, which stands still while the VM is suspended. */
    readonly now = (): number => this.#clock.now + this.#originMs - this.#measureSuspensions();

    /** Time of day, which goes on meanwhile. */
    readonly readWallClock = (): number => this.#clock.now + this.#timeOfDayErrorMs;

    readonly timers: Timers = {
        after: (delayMs, action) => {
            const dueAt = this.now() + delayMs;
            let isCancelled = false;
            let cancel = (): void => undefined;
            const run = (): void => {
                const leftMs = dueAt - this.now();
                if (leftMs > TIMER_RESOLUTION_MS) {
                    schedule(leftMs);
                }
                else if (!isCancelled) {
                    action();
                }
            };
            const schedule = (ms: number): void => {
                cancel = this.#clock.schedule(this.#clock.now + ms, () => this.handle(run));
            };
            schedule(delayMs);
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

    /** Pauses the process as its VM is suspended: its steady clock stands still, the time of day goes on. */
    suspendUntil(at: number): void {
        this.#suspensions.push({ from: Math.max(this.#clock.now, this.#suspensions.at(-1)?.to ?? -Infinity), to: at });
        this.pauseUntil(at);
    }

    /** Sets the time of day ahead, or back. */
    stepTimeOfDay(ms: number): void {
        this.#timeOfDayErrorMs += ms;
    }

    /** Sets by how much longer each event takes for a time. */
    setSlowness(factor: number): void {
        this.#slowness = factor;
    }

    end(): void {
        this.#isEnded = true;
        this.#waiting.length = 0;
    }

    #measureSuspensions(): number {
        const { now } = this.#clock;
        return this.#suspensions.reduce((sum, { from, to }) => sum + Math.max(0, Math.min(to, now) - from), 0);
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
