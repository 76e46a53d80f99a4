import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import {
    buildAnswerHeaders,
    copyTrailers,
    FramingKind,
    isFinalStatus,
    selectAnswerFraming,
    selectCallerFraming,
} from "../../protocol/framing/index.js";
import { RefusalReason } from "../../protocol/request/index.js";
import type { Outcome } from "../../protocol/request/index.js";
import type { AnswerCapture } from "./AnswerCapture.js";
import { buildRefusal, NO_ANSWER_STATUS } from "./AttemptResult.js";
import type { AttemptResult } from "./AttemptResult.js";
import { describeInterruption } from "./Exchange.js";
import type { Exchange, Interruption } from "./Exchange.js";

/** Whether to pass an answer to the caller, decided from its status and headers. */
export type AnswerDecision =
    | { readonly kind: "deliver"; readonly outcome: Outcome; }
    /** The answer is read and discarded; the attempt ends with `result`. */
    | { readonly kind: "withhold"; readonly result: AttemptResult; }
    /** It answers another request, as would all later answers on its connection, which is closed. */
    | { readonly kind: "foreign"; readonly result: AttemptResult; };

/** Options of one attempt to execute a request at a server or through a daemon. */
export interface AttemptOptions {
    readonly exchange: Exchange;
    readonly classifyAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerDecision;
    /** Reason of the refusal when no connection could be made. */
    readonly unreachableReason: RefusalReason;
    /** Present for a keyed request: its answer is recorded, and it continues when the caller closes its connection. */
    readonly capture?: AnswerCapture;
}

const FIRST_FINAL_STATUS = 200;
/** Errors with which undici rejects a request that node:http accepted; they are not failures of the server. */
const INVALID_REQUEST_CODES = new Set(["UND_ERR_INVALID_ARG", "UND_ERR_NOT_SUPPORTED"]);
/** Withheld answers are read up to this size, so that their connection can be reused. */
const WITHHELD_MAXIMUM_BYTES = 65_536;

/** Streams an answer from undici to the caller with backpressure, and determines the result of the attempt. */
export class AttemptHandler implements Dispatcher.DispatchHandler {
    readonly #options: AttemptOptions;
    readonly #resolve: (result: AttemptResult) => void;
    #controller: Dispatcher.DispatchController | undefined;
    /** Set before the first byte is written; from then on the request may run. */
    #isSendStarted = false;
    #isSettled = false;
    #status = 0;
    #discardedBytes = 0;
    #decision: AnswerDecision | undefined;

    constructor(options: AttemptOptions, resolve: (result: AttemptResult) => void) {
        this.#options = options;
        this.#resolve = resolve;
        options.exchange.onInterrupt = cause => {
            this.#interrupt(cause);
        };
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.#isSettled) {
            controller.abort(new Error("request was interrupted before it was sent"));
            return;
        }
        this.#controller = controller;
        this.#isSendStarted = true;
    }

    onResponseStart(
        controller: Dispatcher.DispatchController,
        status: number,
        headers: IncomingHttpHeaders,
        statusMessage?: string,
    ): void {
        if (status < FIRST_FINAL_STATUS || this.#isSettled) {
            return;
        }
        const { exchange, capture } = this.#options;
        if (!isFinalStatus(status)) {
            this.#abort(new Error(`the answer has the status ${status}`));
            return;
        }
        const rawHeaders = decodeRawHeaders(controller.rawHeaders);
        const context = { isHead: exchange.request.method === "HEAD", minorVersion: 1, status };
        const selected = selectAnswerFraming(rawHeaders, context);
        const framing = selected.extract();
        if (typeof framing === "string") {
            this.#abort(new Error(`the head of the answer is malformed: ${framing}`));
            return;
        }
        if (framing.kind === FramingKind.Close) {
            // The client doesn't tell a reset of the connection from its end.
            this.#abort(new Error("the answer states no length, so its end can't be recognized"));
            return;
        }
        this.#status = status;
        this.#decision = this.#options.classifyAnswer(status, headers);
        if (this.#decision.kind === "foreign") {
            this.#settle(this.#decision.result);
            controller.abort(new Error("the answer belongs to another request"));
            return;
        }
        if (this.#decision.kind === "withhold") {
            return;
        }
        const minorVersion = exchange.request.httpVersionMinor;
        const statedBytes = framing.kind === FramingKind.Length ? framing.bytes : undefined;
        const callerFraming = selectCallerFraming({ ...context, minorVersion }, statedBytes);
        const answerHeaders = buildAnswerHeaders(rawHeaders, status, callerFraming, true);
        capture?.begin(status, answerHeaders);
        if (exchange.response.destroyed) {
            return;
        }
        exchange.appendAnswerHeaders(answerHeaders, this.#decision.outcome);
        exchange.response.writeHead(status, statusMessage ?? "", answerHeaders);
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (this.#isSettled) {
            return;
        }
        if (this.#decision?.kind !== "deliver") {
            this.#discard(chunk);
            return;
        }
        const { response } = this.#options.exchange;
        this.#options.capture?.append(chunk);
        if (!response.destroyed && !response.write(chunk)) {
            controller.pause();
            response.once("drain", () => {
                controller.resume();
            });
        }
    }

    onResponseEnd(controller: Dispatcher.DispatchController): void {
        const decision = this.#decision;
        if (decision === undefined || this.#isSettled) {
            return;
        }
        if (decision.kind !== "deliver") {
            this.#settle(decision.result);
            return;
        }
        const { response } = this.#options.exchange;
        this.#options.capture?.end();
        if (!response.destroyed) {
            const trailers = copyTrailers(decodeRawHeaders(controller.rawTrailers));
            if (trailers.length > 0) {
                response.addTrailers(trailers);
            }
            response.end();
        }
        this.#settle({ kind: "answered", status: this.#status, outcome: decision.outcome });
    }

    onResponseError(_controller: Dispatcher.DispatchController | null, error: Error): void {
        if (this.#isSettled) {
            return;
        }
        if (!this.#isSendStarted && INVALID_REQUEST_CODES.has(String((error as NodeJS.ErrnoException).code))) {
            this.#settle(buildRefusal(RefusalReason.BadRequest, error.message));
            return;
        }
        this.#fail(error.message);
    }

    #discard(chunk: Buffer): void {
        this.#discardedBytes += chunk.length;
        if (this.#discardedBytes > WITHHELD_MAXIMUM_BYTES && this.#decision?.kind === "withhold") {
            this.#settle(this.#decision.result);
            this.#controller?.abort(
                new Error(`withheld answer of ${this.#discardedBytes} bytes exceeds ${WITHHELD_MAXIMUM_BYTES} bytes`),
            );
        }
    }

    #interrupt(cause: Interruption): void {
        if (cause === "cancelled" && this.#options.capture !== undefined && this.#isSendStarted) {
            // The answer of a keyed request is recorded for a repetition, even when its caller is gone.
            this.#controller?.resume();
            return;
        }
        const result = this.#decision === undefined || this.#decision.kind === "withhold"
            ? describeInterruption(cause, this.#isSendStarted)
            : this.#resetCaller(`the request was given up: ${cause}`);
        this.#settle(result);
        this.#controller?.abort(new Error(`request was interrupted: ${cause}`));
    }

    #abort(error: Error): void {
        this.#fail(error.message);
        this.#controller?.abort(error);
    }

    #fail(detail: string): void {
        if (!this.#isSendStarted) {
            this.#settle(buildRefusal(this.#options.unreachableReason, detail));
        }
        else if (this.#decision?.kind === "deliver") {
            this.#settle(this.#resetCaller(detail));
        }
        else if (this.#decision?.kind === "withhold") {
            this.#settle(this.#decision.result);
        }
        else {
            this.#settle({ kind: "unknown", status: NO_ANSWER_STATUS, detail });
        }
    }

    /**
     * Resets the caller's connection, so that an incomplete answer can't be mistaken for a complete one.
     * To an HTTP/1.0 caller, which gets no chunks, a plain close would be the end of the answer.
     */
    #resetCaller(detail: string): AttemptResult {
        const { response } = this.#options.exchange;
        response.socket?.resetAndDestroy();
        response.destroy();
        return { kind: "cut", status: this.#status, detail };
    }

    #settle(result: AttemptResult): void {
        if (!this.#isSettled) {
            this.#isSettled = true;
            this.#options.exchange.onInterrupt = undefined;
            this.#resolve(result);
        }
    }
}

/** Decodes raw headers, which undici passes as buffers of Latin-1 bytes. */
function decodeRawHeaders(raw: Dispatcher.DispatchController["rawHeaders"]): string[] {
    if (!Array.isArray(raw)) {
        return [];
    }
    return raw.map(part => typeof part === "string" ? part : part.toString("latin1"));
}
