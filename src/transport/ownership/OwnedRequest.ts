import type { OwnerLoad } from "../../coordination/placement/index.js";
import type { RefusalReason } from "../../protocol/request/index.js";
import type { RequestKind } from "../../state/traffic/index.js";

/** A request as the owner of a backend server gets it, from its own callers or from another daemon. */
export interface OwnedRequest {
    readonly requestId: string;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    /** Names and values alternate; without headers of one connection and without the body's framing. */
    readonly headers: readonly string[];
    readonly body: Uint8Array;
    readonly route: string;
    readonly service: string;
    readonly kind: RequestKind;
    readonly priority: number;
    readonly isNested: boolean;
    /** Time in which the answer is in time; negative when it is late already. */
    readonly targetLeftMs: number;
    /** Time after which an answer is of no use. */
    readonly budgetLeftMs: number;
    readonly callerService: string;
}

/** The request was certainly not run. */
export interface OwnerRefusal {
    readonly reason: RefusalReason;
    readonly detail: string;
    /** Time until a slot is expected to be free. */
    readonly retryAfterMs: number;
}

export interface AnswerHead {
    readonly status: number;
    /** Names and values alternate. */
    readonly headers: readonly string[];
    /** The answer states no length and ends with its connection; it is passed on in the same way. */
    readonly isCloseDelimited: boolean;
    /** Time that the server took until its answer began. */
    readonly workMs: number;
    /** Time that the request waited for a slot. */
    readonly queuedMs: number;
}

/** How a request goes on. Exactly one of the ends is called, unless the request was cancelled. */
export interface RequestEvents {
    /** A request that may run once has a slot; it starts by `proceed`. */
    onOffer(): void;
    /** End: not run. */
    onRefused(refusal: OwnerRefusal, load: OwnerLoad | undefined): void;
    /** End: the server said that it did not run the request. */
    onDeclined(detail: string, load: OwnerLoad | undefined): void;
    /** End: the request may have run. */
    onOutcomeUnknown(detail: string, load: OwnerLoad | undefined): void;
    /** End: a whole answer. */
    onAnswer(head: AnswerHead, body: Uint8Array, load: OwnerLoad | undefined): void;
    /** A long answer begins. */
    onHead(head: AnswerHead): void;
    onData(body: Uint8Array): void;
    /** End of a long answer. */
    onEnd(load: OwnerLoad | undefined): void;
    /** End: a long answer broke off. */
    onAnswerAborted(detail: string, load: OwnerLoad | undefined): void;
}

/** Controls a request that an owner has accepted or is about to. */
export interface RequestHandle {
    /** Answers an offer. */
    proceed(): void;
    /** Gives the request up; no event follows. */
    cancel(): void;
    /** Stops and continues the data of a long answer. */
    pause(): void;
    resume(): void;
}
