import type { IncomingMessage, ServerResponse } from "node:http";
import type { Outcome } from "../../protocol/request/index.js";
import { getRefusalStatus, RefusalReason } from "../../protocol/request/index.js";
import { buildRefusal, DEADLINE_EXCEEDED_STATUS, NO_ANSWER_STATUS } from "./AttemptResult.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { DeadlineQueue } from "./DeadlineQueue.js";
import type { RequestBody } from "./RequestBody.js";

/** Why a request ends before its answer is complete. */
export type Interruption = "cancelled" | "deadline" | "body-too-large";

/**
 * A request on one of the daemon's ports and its answer. An operation that waits on behalf of the request sets
 * `onInterrupt`, which is called when the caller closes its connection or the deadline passes.
 */
export class Exchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly receivedAt: number;
    /** Adds the headers that every answer on this port carries. */
    readonly appendAnswerHeaders: (headers: string[], outcome: Outcome) => void;
    body: RequestBody = { kind: "none" };
    /** Time by which the answer must be complete. */
    deadline = Number.POSITIVE_INFINITY;
    queuedMs = 0;
    interruption: Interruption | undefined;
    onInterrupt: ((cause: Interruption) => void) | undefined;
    #removeDeadline: (() => void) | undefined;
    readonly #deadlines: DeadlineQueue;

    constructor(
        request: IncomingMessage,
        response: ServerResponse,
        receivedAt: number,
        deadlines: DeadlineQueue,
        appendAnswerHeaders: (headers: string[], outcome: Outcome) => void,
    ) {
        this.request = request;
        this.response = response;
        this.receivedAt = receivedAt;
        this.#deadlines = deadlines;
        this.appendAnswerHeaders = appendAnswerHeaders;
        response.on("close", () => {
            if (!response.writableFinished) {
                this.interrupt("cancelled");
            }
        });
    }

    setDeadline(deadline: number): void {
        this.#removeDeadline?.();
        this.deadline = deadline;
        this.#removeDeadline = this.#deadlines.register(deadline, () => {
            this.interrupt("deadline");
        });
    }

    /** Only the first cause counts, but a deadline may follow a cancellation, after which keyed requests continue. */
    interrupt(cause: Interruption): void {
        if (this.interruption === undefined || this.interruption === "cancelled" && cause === "deadline") {
            this.interruption = cause;
            this.onInterrupt?.(cause);
        }
    }

    /** Removes the deadline and the listener, after the answer was sent or the connection closed. */
    finish(): void {
        this.#removeDeadline?.();
        this.onInterrupt = undefined;
    }
}

/** Result of an interrupted request, which depends on whether it may have reached a server. */
export function describeInterruption(cause: Interruption, mayHaveRun: boolean): AttemptResult {
    switch (cause) {
        case "cancelled":
            return mayHaveRun
                ? { kind: "unknown", status: NO_ANSWER_STATUS, detail: "the caller closed its connection" }
                : buildRefusal(RefusalReason.Cancelled, "the caller closed its connection");
        case "deadline":
            return mayHaveRun
                ? { kind: "unknown", status: DEADLINE_EXCEEDED_STATUS, detail: "no answer came before the deadline" }
                : buildRefusal(RefusalReason.Deadline, "the deadline passed before a server had a free slot");
        case "body-too-large":
            return mayHaveRun
                ? {
                    kind: "unknown",
                    status: getRefusalStatus(RefusalReason.RequestTooLarge),
                    detail: "the request body exceeds the route's limit",
                }
                : buildRefusal(RefusalReason.RequestTooLarge, "the request body exceeds the route's limit");
    }
}
