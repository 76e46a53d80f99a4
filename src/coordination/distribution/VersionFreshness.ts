/**
 * Tells when the version in force was last known to be the newest one in the store, whichever daemon has asked. Daemons
 * pass this moment on instead of whether a watch works, since a version is late for any reason that silences the watches.
 */
import type { StorePosition } from "../../state/store/index.js";

/** Statement that a daemon's version in force was the newest one in the store. */
export interface Confirmation {
    /** Position of the store at that moment; a watch from there tells all later versions. */
    readonly position: StorePosition;
    /** Whole milliseconds since that moment, or more. */
    readonly ageMs: number;
}

export class VersionFreshness {
    #position: StorePosition | undefined;
    #confirmedAt: number;

    /** Counts from the start while nothing is confirmed. */
    constructor(startedAt: number) {
        this.#confirmedAt = startedAt;
    }

    /** Position of the last confirmation; undefined before the first one, and if the store no longer knows it. */
    get position(): StorePosition | undefined {
        return this.#position;
    }

    /** Counts from a later time, as long as nothing is confirmed. */
    startAt(now: number): void {
        if (this.#position === undefined) {
            this.#confirmedAt = Math.max(this.#confirmedAt, now);
        }
    }

    /** Time since the version in force was known to be the newest. */
    readAgeMs(now: number): number {
        return now - this.#confirmedAt;
    }

    /** Confirmation to pass on; undefined while there is none. */
    readConfirmation(now: number): Confirmation | undefined {
        return this.#position === undefined
            ? undefined
            : { ageMs: Math.ceil(this.readAgeMs(now)), position: this.#position };
    }

    /** Records that the version in force was the newest one at a time; returns whether that is news. */
    recordConfirmation(position: StorePosition, at: number): boolean {
        if (at <= this.#confirmedAt) {
            return false;
        }
        this.#position = position;
        this.#confirmedAt = at;
        return true;
    }

    /** Forgets the position, from which the store can't be watched any more. */
    removePosition(): void {
        this.#position = undefined;
    }
}
