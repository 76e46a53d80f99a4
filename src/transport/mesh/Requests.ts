import type { Link } from "./Link.js";
import type { Timers } from "./Timers.js";
import { limitTime } from "./Timers.js";

interface WaitingRequest<T> {
    readonly link: Link;
    readonly resolve: (answer: T | undefined) => void;
}

/** Questions sent to other daemons whose answers are awaited, by request number. */
export class Requests<T> {
    private readonly waiting = new Map<number, WaitingRequest<T>>();
    private last = 0;

    constructor(private readonly timers: Timers, private readonly limitMs: number) {}

    /** Sends a question; resolves with undefined when no answer comes in time or the link ends. */
    async request(link: Link, send: (request: number) => void): Promise<T | undefined> {
        const request = ++this.last;
        const answer = new Promise<T | undefined>(resolve => this.waiting.set(request, { link, resolve }));
        send(request);
        const result = await limitTime(this.timers, this.limitMs, answer);
        this.waiting.delete(request);
        return result;
    }

    /** Delivers an answer; one that nobody awaits any more is dropped. */
    resolve(request: number, answer: T): void {
        this.waiting.get(request)?.resolve(answer);
    }

    /** Ends the questions that were sent over a link that has ended. */
    cancel(link: Link): void {
        [...this.waiting.values()].filter(waiting => waiting.link === link).forEach(waiting =>
            waiting.resolve(undefined)
        );
    }
}
