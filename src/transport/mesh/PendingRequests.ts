import type { Timers } from "../timers/index.js";
import { withTimeout } from "../timers/index.js";
import type { Link } from "./Link.js";

interface PendingRequest<T> {
    readonly link: Link;
    readonly resolve: (answer: T | undefined) => void;
}

/** Requests to other daemons that await an answer, by request number. */
export class PendingRequests<T> {
    private readonly pending = new Map<number, PendingRequest<T>>();
    private lastId = 0;

    constructor(private readonly timers: Timers, private readonly timeoutMs: number) {}

    /** Sends a request; resolves with undefined if it times out or the link ends. */
    async request(link: Link, send: (request: number) => void): Promise<T | undefined> {
        const request = ++this.lastId;
        const answer = new Promise<T | undefined>(resolve => this.pending.set(request, { link, resolve }));
        send(request);
        const result = await withTimeout(this.timers, this.timeoutMs, answer);
        this.pending.delete(request);
        return result;
    }

    /** Delivers an answer; an answer to a request that is no longer pending is dropped. */
    resolve(request: number, answer: T): void {
        this.pending.get(request)?.resolve(answer);
    }

    /** Cancels the requests sent over a link that has ended. */
    cancel(link: Link): void {
        [...this.pending.values()].filter(request => request.link === link).forEach(request =>
            request.resolve(undefined)
        );
    }
}
