/**
 * One connection to the backend server. Bytes that belong to no request in flight, and answers that
 * name another request, are dropped and never passed on. A server that sends too many of them, or too many bytes
 * that are no body, loses the connection. What was read at once is parsed in slices, which wait for their share of the
 * processor while the server cuts its answer into tiny parts.
 */
import { Socket } from "node:net";
import { AnswerMatch, matchAnswer, SentRequestIds } from "../../protocol/answers/index.js";
import type { Dialect } from "../../protocol/dialect/index.js";
import {
    AnswerResult,
    classifyAnswer,
    ConnectionEnd,
    FramingKind,
    hasTwoFramings,
    isFinalStatus,
    selectAnswerFraming,
} from "../../protocol/framing/index.js";
import { isReset } from "../connections/index.js";
import type { CostlyReader, CostlyReads } from "../input/index.js";
import { realTimers, scheduleTimeout } from "../timers/index.js";
import { describeEnd, describeProgress } from "./AnswerDescriptions.js";
import { createAnswerParser, isBetweenAnswers, readHead, readPieceBytes } from "./AnswerParser.js";
import type { AnswerParser, ParsedHead } from "./AnswerParser.js";
import {
    ANSWER_HEADER_LIMIT_BYTES,
    CONNECT_TIMEOUT_MS,
    FOREIGN_BODY_LIMIT_BYTES,
    FRAMING_BYTES_PER_BODY_BYTE,
    LONG_SLICE_MS,
    MAXIMUM_SLICE_BYTES,
    MINIMUM_SLICE_BYTES,
    ORDERLY_CLOSE_TIMEOUT_MS,
} from "./OwnershipConstants.js";
import { DropMoment } from "./SecondAnswers.js";
import type { Exchange, ExchangeEvents } from "./ServerExchange.js";

export interface ServerConnectionOptions {
    readonly address: string;
    readonly port: number;
    readonly dialect: Dialect;
    readonly now: () => number;
    readonly costlyReads: CostlyReads;
    /** Calls its argument, which connects, at once or later. */
    scheduleConnect(connect: () => void): void;
    onIdle(connection: ServerConnection): void;
    onClose(connection: ServerConnection): void;
    /** Called with an answer that no request waits for; `head` is undefined when it has not arrived as a whole. */
    onDropped(head: ParsedHead | undefined, moment: DropMoment, waitingId?: string): void;
}

const SKIP_BODY = 1;

export class ServerConnection implements CostlyReader {
    readonly #socket = new Socket();
    readonly #options: ServerConnectionOptions;
    readonly #dialect: Dialect;
    readonly #now: () => number;
    readonly #costlyReads: CostlyReads;
    readonly #parser: AnswerParser;
    #exchange: Exchange | undefined;
    #isConnected = false;
    #isClosed = false;
    #isReusable = true;
    #isInterim = false;
    /** Whether an answer has named its request. */
    #areAnswersNamed = false;
    /** Number of requests that were sent before the present one. */
    #earlierExchanges = -1;
    /** Bytes since the present request was sent: all, and those of bodies of its own answer and of others. */
    #receivedBytes = 0;
    #ownBodyBytes = 0;
    #foreignBodyBytes = 0;
    readonly #sentIds = new SentRequestIds();
    #idleTimeoutMs = Infinity;
    #idleSince = 0;
    /** Bytes that were read from the socket and wait to be parsed. */
    #unparsed: Buffer | undefined;
    #sliceBytes = MINIMUM_SLICE_BYTES;
    #workMs = 0;
    /** Pieces of the own answer's body that are passed on together. */
    #bodyParts: Uint8Array[] = [];
    #isPausedByReader = false;
    #isParsing = false;
    #isWaitingForShare = false;
    /** What is to be done once no bytes wait any more, after the socket has ended or closed. */
    #finishes: (() => void)[] = [];

    constructor(options: ServerConnectionOptions) {
        const { address, costlyReads, dialect, now, port } = options;
        this.#options = options;
        this.#dialect = dialect;
        this.#now = now;
        this.#costlyReads = costlyReads;
        this.#parser = this.#createParser();
        this.#socket.setNoDelay(true);
        options.scheduleConnect(() => {
            // A socket that was closed while it waited would be opened again.
            if (!this.#socket.destroyed) {
                this.#socket.connect({ host: address, port });
            }
        });
        const cancelTimeout = scheduleTimeout(
            realTimers,
            CONNECT_TIMEOUT_MS,
            () => this.#socket.destroy(new Error("connecting timed out")),
        );
        this.#socket.once("connect", () => {
            cancelTimeout();
            this.#isConnected = true;
            this.#write();
        });
        let error: Error | undefined;
        this.#socket.on("error", cause => {
            error = cause;
        });
        this.#socket.on("data", chunk => this.#handleData(chunk));
        this.#socket.on("end", () => {
            const wasReset = isReset(this.#socket);
            this.#runAfterUnparsed(() => this.#handleSocketEnd(wasReset));
        });
        this.#socket.on("close", () => {
            cancelTimeout();
            const detail = error?.message ?? "the server closed the connection";
            this.#runAfterUnparsed(() => this.#handleSocketClose(detail));
        });
    }

    get idleSince(): number {
        return this.#idleSince;
    }

    get idleTimeoutMs(): number {
        return this.#idleTimeoutMs;
    }

    get source(): string {
        return `the answer to request ${this.#exchange?.requestId ?? "-"}`;
    }

    /** Processor time that the present answer has taken, in milliseconds. */
    get workMs(): number {
        return this.#workMs;
    }

    get isClosed(): boolean {
        return this.#isClosed;
    }

    /** Whether a late answer to an earlier request would look like the answer to one with this id. */
    hasSent(requestId: string): boolean {
        return this.#sentIds.has(requestId);
    }

    markIdle(now: number): void {
        this.#idleSince = now;
    }

    /** Sends one request; the connection must be idle. */
    send(requestId: string, isHead: boolean, bytes: Uint8Array, events: ExchangeEvents): void {
        this.#exchange = { bytes, events, framing: undefined, isHead, isSent: false, requestId };
        this.#sentIds.add(requestId);
        this.#isReusable &&= !this.#sentIds.isFull;
        this.#earlierExchanges++;
        this.#workMs = 0;
        this.#receivedBytes = 0;
        this.#ownBodyBytes = 0;
        this.#foreignBodyBytes = 0;
        if (this.#isClosed) {
            this.#failExchange("the connection is closed");
        }
        else if (this.#isConnected) {
            this.#write();
        }
    }

    pause(): void {
        this.#isPausedByReader = true;
        this.#socket.pause();
    }

    resume(): void {
        this.#isPausedByReader = false;
        if (this.#unparsed === undefined) {
            this.#socket.resume();
        }
        else if (!this.#isParsing && !this.#isWaitingForShare) {
            this.#waitForShare();
        }
    }

    /** Closes the connection; an exchange in flight gets no further event. */
    destroy(): void {
        this.#exchange = undefined;
        this.#discardUnparsed();
        this.#socket.destroy();
    }

    /** Closes an idle connection; calls `onClosed` once the server has closed its side too, or after a while. */
    closeInOrder(onClosed: () => void): void {
        const cancelTimeout = scheduleTimeout(realTimers, ORDERLY_CLOSE_TIMEOUT_MS, () => this.#socket.destroy());
        this.#socket.once("close", () => {
            cancelTimeout();
            onClosed();
        });
        this.#socket.end();
    }

    /** Parses what waits, as far as its share of the processor goes. */
    readOn(): void {
        this.#isWaitingForShare = false;
        this.#parseUnparsed();
        this.#passBodyOn();
        if (this.#unparsed !== undefined || this.#isWaitingForShare) {
            return;
        }
        const finishes = this.#finishes;
        this.#finishes = [];
        finishes.forEach(finish => finish());
        if (!this.#isPausedByReader) {
            this.#socket.resume();
        }
    }

    #write(): void {
        const exchange = this.#exchange;
        if (exchange !== undefined && !exchange.isSent) {
            exchange.isSent = true;
            this.#socket.write(exchange.bytes);
        }
    }

    #createParser(): AnswerParser {
        const parser = createAnswerParser(ANSWER_HEADER_LIMIT_BYTES);
        parser.onHeadersComplete = (head: ParsedHead) => this.#handleHead(head);
        parser.onBody = (chunk: Buffer, offset: number, length: number) => {
            if (this.#exchange?.framing !== undefined) {
                this.#ownBodyBytes += length;
                this.#addBodyPart(chunk.subarray(offset, offset + length));
            }
            else {
                this.#foreignBodyBytes += length;
            }
        };
        parser.onMessageComplete = () => this.#completeAnswer();
        return parser;
    }

    #handleData(chunk: Buffer): void {
        if (this.#exchange === undefined) {
            // Data without a request in flight; the next request must not get it as its answer.
            this.#options.onDropped(
                readHead(chunk.subarray(0, MINIMUM_SLICE_BYTES), MINIMUM_SLICE_BYTES),
                DropMoment.Idle,
            );
            this.#socket.destroy();
            return;
        }
        // A socket that is paused may still deliver what it had read before.
        this.#unparsed = this.#unparsed === undefined ? chunk : Buffer.concat([this.#unparsed, chunk]);
        if (!this.#isWaitingForShare) {
            this.readOn();
        }
    }

    #parseUnparsed(): void {
        while (this.#unparsed !== undefined) {
            if (this.#isPausedByReader && this.#finishes.length === 0) {
                return;
            }
            if (!this.#costlyReads.isFree(this)) {
                this.#waitForShare();
                return;
            }
            const slice = this.#unparsed.subarray(0, Math.max(this.#sliceBytes, readPieceBytes(this.#parser)));
            this.#unparsed = slice.length < this.#unparsed.length ? this.#unparsed.subarray(slice.length) : undefined;
            this.#parseSlice(slice);
        }
    }

    #parseSlice(slice: Buffer): void {
        const startedAt = this.#now();
        this.#receivedBytes += slice.length;
        this.#isParsing = true;
        const result = this.#parser.execute(slice);
        this.#isParsing = false;
        const fault = result instanceof Error
            ? `the answer is malformed after ${this.#receivedBytes} bytes: ${result.message}`
            : this.#findExcess();
        if (fault !== undefined) {
            this.#failExchange(fault);
            this.#closeSocket();
        }
        else if (this.#exchange === undefined && !this.#isReusable) {
            this.#closeSocket();
        }
        const workMs = this.#recordWork(startedAt);
        this.#sliceBytes = workMs > LONG_SLICE_MS
            ? Math.max(MINIMUM_SLICE_BYTES, this.#sliceBytes / 2)
            : Math.min(MAXIMUM_SLICE_BYTES, 2 * this.#sliceBytes);
    }

    /** Charges the processor time since a moment to the present answer, and returns it. */
    #recordWork(startedAt: number): number {
        const workMs = this.#now() - startedAt;
        this.#costlyReads.charge(workMs, this.#workMs);
        this.#workMs += workMs;
        return workMs;
    }

    #waitForShare(): void {
        this.#isWaitingForShare = true;
        this.#socket.pause();
        this.#costlyReads.enqueue(this);
    }

    /** Pieces of a body without framing between them stay one piece, so that they needn't be copied. */
    #addBodyPart(part: Buffer): void {
        const last = this.#bodyParts.at(-1);
        if (last?.buffer === part.buffer && last.byteOffset + last.length === part.byteOffset) {
            this.#bodyParts.pop();
            this.#bodyParts.push(Buffer.from(part.buffer, last.byteOffset, last.length + part.length));
        }
        else {
            this.#bodyParts.push(part);
        }
    }

    #passBodyOn(): void {
        const parts = this.#bodyParts;
        const [first] = parts;
        if (first !== undefined) {
            const startedAt = this.#now();
            this.#bodyParts = [];
            this.#exchange?.events.onData(parts.length === 1 ? first : Buffer.concat(parts));
            this.#recordWork(startedAt);
        }
    }

    /** Runs an action at once, or after the bytes that wait were parsed. */
    #runAfterUnparsed(action: () => void): void {
        if (this.#unparsed === undefined) {
            action();
            return;
        }
        this.#finishes.push(action);
        if (!this.#isWaitingForShare) {
            this.#waitForShare();
        }
    }

    #closeSocket(): void {
        this.#discardUnparsed();
        this.#socket.destroy();
    }

    #discardUnparsed(): void {
        this.#unparsed = undefined;
        this.#bodyParts = [];
        this.#costlyReads.cancel(this);
        this.#isWaitingForShare = false;
        const finishes = this.#finishes;
        this.#finishes = [];
        finishes.forEach(finish => finish());
    }

    /** Describes bytes that the server sends without end in place of an answer; undefined within the limits. */
    #findExcess(): string | undefined {
        const bodyBytes = this.#ownBodyBytes + this.#foreignBodyBytes;
        const framingLimit = ANSWER_HEADER_LIMIT_BYTES + FRAMING_BYTES_PER_BODY_BYTE * bodyBytes;
        const framingBytes = this.#receivedBytes - bodyBytes;
        if (framingBytes > framingLimit) {
            return `${framingBytes} bytes of the answer are no body, above the limit of ${framingLimit}`;
        }
        return this.#foreignBodyBytes > FOREIGN_BODY_LIMIT_BYTES
            ? `${this.#foreignBodyBytes} bytes belong to other requests, above the limit of ${FOREIGN_BODY_LIMIT_BYTES}`
            : undefined;
    }

    #handleHead(head: ParsedHead): number | undefined {
        this.#isInterim = !isFinalStatus(head.statusCode);
        if (this.#isInterim) {
            return SKIP_BODY;
        }
        const exchange = this.#exchange;
        if (exchange === undefined || exchange.framing !== undefined) {
            this.#isReusable = false;
            this.#options.onDropped(head, DropMoment.Following);
            return undefined;
        }
        const { headers, statusCode: status, versionMinor: minorVersion } = head;
        const waiting = {
            areAnswersNamed: this.#areAnswersNamed,
            isFirst: this.#earlierExchanges === 0,
            requestId: exchange.requestId,
        };
        const answer = matchAnswer({ headers, status }, waiting, this.#dialect);
        if (answer.kind === AnswerMatch.Malformed) {
            this.#failExchange(answer.detail);
            this.#closeSocket();
            return undefined;
        }
        const { statement } = answer;
        const isOwn = answer.kind === AnswerMatch.Own;
        this.#isReusable &&= head.shouldKeepAlive;
        const context = { isHead: isOwn && exchange.isHead, minorVersion, status };
        const framing = selectAnswerFraming(headers, context).extract();
        if (typeof framing === "string") {
            this.#failExchange(`the head of the answer is malformed: ${framing}`);
            this.#closeSocket();
            return undefined;
        }
        this.#isReusable &&= framing.kind !== FramingKind.Chunks || !hasTwoFramings(headers);
        const bodyAdvice = framing.kind === FramingKind.None ? SKIP_BODY : undefined;
        if (!isOwn) {
            this.#options.onDropped(head, DropMoment.Waiting, exchange.requestId);
            if (framing.kind === FramingKind.Close) {
                this.#failExchange("an answer to another request lasts until the end of the connection");
                this.#closeSocket();
            }
            return bodyAdvice;
        }
        this.#idleTimeoutMs = statement.idleTimeoutMs ?? Infinity;
        this.#areAnswersNamed ||= statement.requestId !== undefined;
        exchange.framing = framing;
        exchange.events.onHead(status, headers, framing, statement);
        return bodyAdvice;
    }

    #completeAnswer(): void {
        const exchange = this.#exchange;
        if (this.#isInterim || exchange?.framing === undefined) {
            return;
        }
        this.#passBodyOn();
        this.#exchange = undefined;
        // A server that has answered before it has read the whole body may take what follows for the rest of it.
        this.#isReusable &&= this.#socket.writableLength === 0;
        // The reader of this answer may have paused the socket, which would block the next answer.
        this.#isPausedByReader = false;
        this.#socket.resume();
        exchange.events.onEnd();
        if (this.#isReusable && !this.#isClosed) {
            // Runs after the rest of the chunk is parsed: data after the answer makes the connection unusable.
            queueMicrotask(() => this.#becomeIdle());
        }
        else {
            this.#closeSocket();
        }
    }

    #becomeIdle(): void {
        if (this.#unparsed !== undefined || !isBetweenAnswers(this.#parser)) {
            this.#closeSocket();
        }
        else if (this.#isReusable && !this.#isClosed) {
            this.#options.onIdle(this);
        }
    }

    #handleSocketEnd(wasReset: boolean): void {
        this.#isReusable = false;
        const end = wasReset ? ConnectionEnd.Reset : ConnectionEnd.Closed;
        // An answer with a length or chunks that was whole has ended its exchange before.
        const progress = { bodyBytes: this.#ownBodyBytes, framing: this.#exchange?.framing, hasLastChunk: false };
        const result = classifyAnswer(progress, end);
        if (result === AnswerResult.Whole) {
            this.#parser.finish();
        }
        else {
            this.#failExchange(`the server ${describeEnd(end)}: ${describeProgress(result, this.#ownBodyBytes)}`, true);
        }
    }

    #handleSocketClose(detail: string): void {
        if (this.#isClosed) {
            return;
        }
        this.#isClosed = true;
        this.#failExchange(detail, true);
        this.#options.onClose(this);
    }

    #failExchange(detail: string, isClosed = false): void {
        this.#passBodyOn();
        const exchange = this.#exchange;
        this.#exchange = undefined;
        if (exchange === undefined) {
            return;
        }
        if (exchange.isSent) {
            exchange.events.onBroken(detail, isClosed);
        }
        else {
            exchange.events.onNotSent(detail);
        }
    }
}
