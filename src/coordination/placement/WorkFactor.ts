/** How long work takes at a server at present, relative to its usual time, as the server tells it with each answer. */

/** Age at which a factor counts half: what slows a VM down changes several times a second. */
const HALF_LIFE_MS = 500;

/** Reduces what a factor differs from 1 by its age. Two reductions in a row equal one by the sum of the ages. */
export function updateFactor(factor: number, ageMs: number): number {
    return 1 + (factor - 1) * 0.5 ** (Math.max(0, ageMs) / HALF_LIFE_MS);
}

/** Factor that the server beside a daemon has told last. */
export class WorkFactor {
    #factor: number | undefined;
    #recordedAt = 0;

    record(factor: number | undefined, now: number): void {
        this.#factor = factor;
        this.#recordedAt = now;
    }

    /** Returns the factor reduced by its age; undefined when the server doesn't tell it. */
    read(now: number): number | undefined {
        return this.#factor === undefined ? undefined : updateFactor(this.#factor, now - this.#recordedAt);
    }
}
