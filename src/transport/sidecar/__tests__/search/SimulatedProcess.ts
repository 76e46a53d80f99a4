/**
 * A process that may be paused, suspended, slow or ended: what happens to it meanwhile waits, or is lost. Its event loop has the
 * phases of that of Node.js, so that after a long callback expired timers run before what has arrived meanwhile is read.
 */
import { createTimers } from "../../../timers/index.js";
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

/** Phases of the event loop in their order; each handles what was there when it began. */
const Phase = {
    /** Messages, answers and requests that have arrived. */
    Poll: 0,
    /** What waits for the phase before. */
    Check: 1,
    Timers: 2,
} as const;
const PHASES = 3;

interface Work {
    readonly action: () => void;
    readonly costMs: number;
}

export class SimulatedProcess {
    readonly #clock: SimulatedClock;
    /** Difference between the steady clock of this process and the simulated one. */
    readonly #originMs: number;
    /** By how much longer each event takes, since the processor is weak. */
    readonly #weakness: number;
    /** What waits for each phase. */
    readonly #queues: readonly Work[][] = [[], [], []];
    #phase: number = Phase.Timers;
    /** What is left of the present phase. */
    #batch: Work[] = [];
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

    readonly timers = createTimers({
        runAfterReading: action => {
            let isCancelled = false;
            const run = (): void => {
                if (!isCancelled) {
                    action();
                }
            };
            this.#enqueue(Phase.Check, { action: run, costMs: EventCost.Small });
            return () => {
                isCancelled = true;
            };
        },
        startTimer: (delayMs, action) => {
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
                cancel = this.#clock.schedule(
                    this.#clock.now + ms,
                    () => this.#enqueue(Phase.Timers, { action: run, costMs: 0 }),
                );
            };
            schedule(delayMs);
            return () => {
                isCancelled = true;
                cancel();
            };
        },
    });

    /** Handles an event that has arrived, now or once the process is free; it takes `costMs` of a strong processor. */
    handle(action: () => void, costMs: number = EventCost.Small): void {
        this.#enqueue(Phase.Poll, { action, costMs });
    }

    /** Keeps the process at one event for a time, whatever its processor. */
    hold(ms: number): void {
        this.handle(() => this.pauseUntil(this.#clock.now + ms), 0);
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
        this.#batch = [];
        this.#queues.forEach(queue => queue.splice(0));
    }

    #measureSuspensions(): number {
        const { now } = this.#clock;
        return this.#suspensions.reduce((sum, { from, to }) => sum + Math.max(0, Math.min(to, now) - from), 0);
    }

    #enqueue(phase: number, work: Work): void {
        if (!this.#isEnded) {
            this.#queues[phase]?.push(work);
            this.#drain();
        }
    }

    /** Returns what the event loop comes to next; an idle one waits before the phase in which it reads. */
    #takeNext(): Work | undefined {
        for (let left = PHASES; this.#batch.length === 0 && left > 0; left--) {
            this.#phase = (this.#phase + 1) % PHASES;
            this.#batch = this.#queues[this.#phase]?.splice(0) ?? [];
        }
        const next = this.#batch.shift();
        if (next === undefined) {
            this.#phase = Phase.Timers;
        }
        return next;
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
        const next = this.#takeNext();
        if (next !== undefined) {
            this.#busyUntil = this.#clock.now + next.costMs * this.#slowness * this.#weakness;
            next.action();
            this.#drain();
        }
    }
}
