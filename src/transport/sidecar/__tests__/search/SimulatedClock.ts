/** Simulated time: events run in the order of their times, those of the same time in the order in which they were added. */

interface ClockEvent {
    readonly at: number;
    readonly order: number;
    readonly action: () => void;
    isCancelled: boolean;
}

export class SimulatedClock {
    #now = 0;
    #lastOrder = 0;
    /** Binary heap with the earliest event first. */
    readonly #events: ClockEvent[] = [];

    get now(): number {
        return this.#now;
    }

    /** Runs `action` at a time, or at once if it is past; returns a function that cancels it. */
    schedule(at: number, action: () => void): () => void {
        const event = { action, at: Math.max(at, this.#now), isCancelled: false, order: ++this.#lastOrder };
        this.#addEvent(event);
        return () => {
            event.isCancelled = true;
        };
    }

    /** Runs all events up to a time; the promise reactions of each run before the next one. */
    async runUntil(end: number): Promise<void> {
        for (let next = this.#events[0]; next !== undefined && next.at <= end; next = this.#events[0]) {
            this.#removeFirst();
            if (!next.isCancelled) {
                this.#now = next.at;
                next.action();
                await flushReactions();
            }
        }
        this.#now = end;
    }

    #addEvent(event: ClockEvent): void {
        const events = this.#events;
        let index = events.length;
        events.push(event);
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(event, events[parent] as ClockEvent)) {
                break;
            }
            events[index] = events[parent] as ClockEvent;
            index = parent;
        }
        events[index] = event;
    }

    #removeFirst(): void {
        const events = this.#events;
        const last = events.pop() as ClockEvent;
        if (events.length === 0) {
            return;
        }
        let index = 0;
        for (;;) {
            let child = 2 * index + 1;
            if (child >= events.length) {
                break;
            }
            const right = events[child + 1];
            if (right !== undefined && isBefore(right, events[child] as ClockEvent)) {
                child++;
            }
            if (!isBefore(events[child] as ClockEvent, last)) {
                break;
            }
            events[index] = events[child] as ClockEvent;
            index = child;
        }
        events[index] = last;
    }
}

function isBefore(left: ClockEvent, right: ClockEvent): boolean {
    return left.at < right.at || left.at === right.at && left.order < right.order;
}

/** Immediates run after all reactions of promises that are settled. */
function flushReactions(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
