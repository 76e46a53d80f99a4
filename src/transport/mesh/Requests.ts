import type { Timers } from "./Timers.js";
import { limitTime } from "./Timers.js";

/** Questions sent to other daemons whose answers are awaited, by request number. */
export class Requests<T> {
    private readonly waiting = new Map<number, (answer: T) => void>();
    private last = 0;

    constructor(private readonly timers: Timers, private readonly limitMs: number) {}

    /** Sends a question; resolves with undefined when no answer comes in time. */
    async request(send: (request: number) => void): Promise<T | undefined> {
        const request = ++this.last;
        const answer = new Promise<T>(resolve => this.waiting.set(request, resolve));
        send(request);
        const result = await limitTime(this.timers, this.limitMs, answer);
        this.waiting.delete(request);
        return result;
    }

    /** Delivers an answer; one that nobody awaits any more is dropped. */
    resolve(request: number, answer: T): void {
        this.waiting.get(request)?.(answer);
    }
}
