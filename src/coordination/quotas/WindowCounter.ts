/** Counts the requests of one tenant that proceeded at one daemon within the last window, by slots of time. */

/** Slots into which a window is divided; a request counts until the whole slot has left the window. */
const SLOTS = 100;

export class WindowCounter {
    readonly #slotMs: number;
    readonly #counts = new Uint32Array(SLOTS + 1);
    /** Number of the newest slot. */
    #slot = -Infinity;
    #used = 0;

    constructor(windowMs: number) {
        this.#slotMs = windowMs / SLOTS;
    }

    /** Requests within the window that ends at `now`. */
    read(now: number): number {
        this.#advance(now);
        return this.#used;
    }

    add(now: number): void {
        this.#advance(now);
        const index = this.#slot % this.#counts.length;
        this.#counts[index] = (this.#counts[index] ?? 0) + 1;
        this.#used++;
    }

    /** Time until `count` of the requests have left the window; a window if there are fewer. */
    measureUntilFree(count: number, now: number): number {
        this.#advance(now);
        let left = count;
        for (let age = SLOTS; age >= 0; age--) {
            left -= this.#counts[(this.#slot - age + this.#counts.length) % this.#counts.length] ?? 0;
            if (left <= 0) {
                return (this.#slot - age + this.#counts.length) * this.#slotMs - now;
            }
        }
        return SLOTS * this.#slotMs;
    }

    #advance(now: number): void {
        const slot = Math.floor(now / this.#slotMs);
        if (slot <= this.#slot) {
            return;
        }
        const first = Math.max(this.#slot + 1, slot - SLOTS);
        for (let passed = first; passed <= slot; passed++) {
            const index = ((passed % this.#counts.length) + this.#counts.length) % this.#counts.length;
            this.#used -= this.#counts[index] ?? 0;
            this.#counts[index] = 0;
        }
        this.#slot = slot;
    }
}
