import type { Timers } from "../../../timers/index.js";

interface ScheduledEvent {
    readonly at: number;
    readonly order: number;
    readonly action: () => void;
    isCancelled: boolean;
}

/** Virtual time, which only a test advances. Events due at the same time run in the order of scheduling. */
export class VirtualTime implements Timers {
    now = 0;
    private order = 0;
    private events: ScheduledEvent[] = [];

    after(delayMs: number, action: () => void): () => void {
        const event: ScheduledEvent = {
            action,
            at: this.now + Math.max(0, delayMs),
            isCancelled: false,
            order: this.order++,
        };
        let low = 0;
        for (let high = this.events.length; low < high;) {
            const middle = (low + high) >> 1;
            const other = this.events[middle] as ScheduledEvent;
            if (other.at > event.at) {
                high = middle;
            }
            else {
                low = middle + 1;
            }
        }
        this.events.splice(low, 0, event);
        return () => {
            event.isCancelled = true;
        };
    }

    /** Runs the events due in the next `durationMs`. */
    async advance(durationMs: number): Promise<void> {
        const end = this.now + durationMs;
        await flushPromises();
        for (let next = this.events[0]; next !== undefined && next.at <= end; next = this.events[0]) {
            this.events.shift();
            if (!next.isCancelled) {
                this.now = next.at;
                next.action();
                await flushPromises();
            }
        }
        this.now = end;
    }

    /** Advances until the condition holds, and returns the elapsed time; throws after `limitMs`. */
    async advanceUntil(condition: () => boolean, limitMs: number): Promise<number> {
        const begin = this.now;
        while (!condition()) {
            if (this.now - begin >= limitMs) {
                throw new Error(`the condition did not hold within ${limitMs} ms of virtual time`);
            }
            await this.advance(10);
        }
        return this.now - begin;
    }
}

/** Runs all pending promise reactions: `setImmediate` fires after the microtasks. */
function flushPromises(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
