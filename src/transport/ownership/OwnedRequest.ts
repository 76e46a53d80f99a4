import type { OwnerLoad } from "../../coordination/placement/index.js";
import type { Baseline } from "../../coordination/rollouts/index.js";
import type { RefusalReason } from "../../protocol/request/index.js";
import type { RequestKind } from "../../state/traffic/index.js";

/** A request as the owner of a backend server receives it, from its own callers or from another daemon. */
export interface OwnedRequest {
    readonly requestId: string;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    /** Names and values alternate; without hop-by-hop headers and headers that delimit the body. */
    readonly headers: readonly string[];
    readonly body: Uint8Array;
    /** Size of a body that follows once the request has an offer; undefined when `body` is all. */
    readonly laterBodyBytes?: number | undefined;
    readonly route: string;
    readonly service: string;
    /** Version of the configuration that chose the route and the service. */
    readonly version: number;
    readonly kind: RequestKind;
    readonly priority: number;
    readonly isNested: boolean;
    /** Whether it may reach a server for a second time, or is a call of a request that may. */
    readonly isRetry: boolean;
    /** Time left to meet the target latency; negative when it is missed already. */
    readonly targetLeftMs: number;
    /** Time left until the deadline, after which an answer is of no use. */
    readonly budgetLeftMs: number;
    readonly callerService: string;
    /** Name of the tenant whose key the caller has; undefined for requests without a key. */
    readonly tenant?: string | undefined;
    /** What the caller's daemon has measured of other servers; only with requests that it has placed at a candidate. */
    readonly baseline?: Baseline | undefined;
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
    /** The server's answer states no length and ends with its connection. */
    readonly isCloseDelimited: boolean;
    /** Time that the server took until its answer began. */
    readonly workMs: number;
    /** Time that the request waited for a slot. */
    readonly queuedMs: number;
}

/** Events of a request. Exactly one that is marked as an end is called, unless the request is cancelled. */
export interface RequestEvents {
    /** A non-idempotent request has a slot; `proceed` starts it. */
    onOffer(): void;
    /** End: not run. */
    onRefused(refusal: OwnerRefusal, load: OwnerLoad | undefined): void;
    /** End: the server said that it did not run the request. */
    onDeclined(detail: string, load: OwnerLoad | undefined): void;
    /** End: the request may have run. */
    onOutcomeUnknown(detail: string, load: OwnerLoad | undefined): void;
    /** End: a complete answer. */
    onAnswer(head: AnswerHead, body: Uint8Array, load: OwnerLoad | undefined): void;
    /** Head of a streamed answer. */
    onHead(head: AnswerHead): void;
    onData(body: Uint8Array): void;
    /** End: a streamed answer is complete. */
    onEnd(load: OwnerLoad | undefined): void;
    /** End: a streamed answer was aborted. */
    onAnswerAborted(detail: string, load: OwnerLoad | undefined): void;
}

/** Controls a request that was submitted to an owner. */
export interface RequestHandle {
    /** Accepts an offer; `body` is one that was not sent with the request. */
    proceed(body?: Uint8Array): void;
    /** Whether the body of an accepted request is still being sent, so that the request can't have run. */
    isSending?(): boolean;
    /** Keeps an offer open while the body arrives. */
    renewOffer?(): void;
    /** Cancels the request; no event follows. */
    cancel(): void;
    /** Pauses the data of a streamed answer until `resume`. */
    pause(): void;
    resume(): void;
}
