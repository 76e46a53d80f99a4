import type { Link } from "./Link.js";
import type { Timers } from "./Timers.js";
import { withTimeout } from "./Timers.js";

interface PendingRequest<T> {
    readonly link: Link;
    readonly resolve: (answer: T | undefined) => void;
}

/** Questions sent to other daemons whose answers are awaited, by request number. */
export class PendingRequests<T> {
    private readonly pending = new Map<number, PendingRequest<T>>();
    private lastId = 0;

    constructor(private readonly timers: Timers, private readonly timeoutMs: number) {}

    /** Sends a question; resolves with undefined when no answer comes in time or the link ends. */
    async request(link: Link, send: (request: number) => void): Promise<T | undefined> {
        const request = ++this.lastId;
        const answer = new Promise<T | undefined>(resolve => this.pending.set(request, { link, resolve }));
        send(request);
        const result = await withTimeout(this.timers, this.timeoutMs, answer);
        this.pending.delete(request);
        return result;
    }

    /** Delivers an answer; one that nobody awaits any more is dropped. */
    resolve(request: number, answer: T): void {
        this.pending.get(request)?.resolve(answer);
    }

    /** Ends the questions that were sent over a link that has ended. */
    cancel(link: Link): void {
        [...this.pending.values()].filter(waiting => waiting.link === link).forEach(waiting =>
            waiting.resolve(undefined)
        );
    }
}
