/** One request of a caller and the answer that is sent to it. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { LARGE_ANSWER_BYTES } from "../../coordination/scheduling/index.js";
import { buildAnswerHeaders, FramingKind, isFinalStatus, selectCallerFraming } from "../../protocol/framing/index.js";
import type { AnswerFraming } from "../../protocol/framing/index.js";
import { isValidHeaderList, Outcome } from "../../protocol/request/index.js";
import type { AnswerHead } from "../ownership/index.js";
import { LinkDirection, LinkTrafficKind } from "../uplink/index.js";
import type { UplinkSender } from "../uplink/index.js";

const BAD_GATEWAY_STATUS = 502;

export class CallerExchange {
    /** Called once when the caller disconnects before its answer is complete. */
    onDisconnect: (() => void) | undefined;
    /** Called when the caller can take data again after `sendData` returned false. */
    onDrain: (() => void) | undefined;
    #isEnded = false;
    #isDisconnected = false;
    readonly #isWanted = (): boolean => !this.response.destroyed;
    /** Parts of a streamed answer that wait for the link. */
    #waitingParts = 0;

    constructor(
        readonly request: IncomingMessage,
        private readonly response: ServerResponse,
        /** Whether the connection is to be closed after the answer. */
        private readonly shouldClose: () => boolean,
        private readonly uplink: UplinkSender,
    ) {
        response.on("close", () => {
            if (!response.writableFinished) {
                this.#isDisconnected = true;
                this.#isEnded = true;
                this.onDisconnect?.();
            }
        });
        response.on("drain", () => this.#handleDrain());
    }

    get isEnded(): boolean {
        return this.#isEnded;
    }

    /** Whether parts of a streamed answer are sent at once, since neither the link nor the caller holds them up. */
    get canTakeData(): boolean {
        return this.#waitingParts === 0 && !this.response.writableNeedDrain;
    }

    /** Whether the caller has closed its connection, also when the response doesn't know it yet. */
    get hasCallerLeft(): boolean {
        const { socket } = this.request;
        return this.#isDisconnected || socket.destroyed || socket.readableEnded;
    }

    /** Sends a server's complete answer; throws when its head can't be written. */
    sendAnswer(head: AnswerHead, body: Uint8Array): void {
        if (this.#isEnded) {
            return;
        }
        requireValidHead(head);
        const framing = this.#selectFraming(head, body.length);
        this.#writeHead(head.status, buildAnswerHeaders(head.headers, head.status, framing));
        this.#isEnded = true;
        this.#sendBody(framing.kind === FramingKind.None ? undefined : body);
    }

    /** Sends the head of a streamed answer, whose body has this length if it is known; throws when it can't be written. */
    sendHead(head: AnswerHead, bodyBytes: number | undefined): void {
        if (this.#isEnded) {
            return;
        }
        requireValidHead(head);
        const framing = this.#selectFraming(head, bodyBytes);
        this.#writeHead(head.status, buildAnswerHeaders(head.headers, head.status, framing));
    }

    /** Ends an answer that could not be written: with a status of its own, or by a reset if its head is sent already. */
    sendFault(text: string): void {
        if (this.response.headersSent) {
            this.resetConnection();
        }
        else {
            this.sendDaemonAnswer(BAD_GATEWAY_STATUS, Outcome.Unknown, text);
        }
    }

    /** Sends data of a streamed answer; false when no more should be sent until `onDrain`. */
    sendData(body: Uint8Array): boolean {
        if (this.#isEnded) {
            return true;
        }
        let hasWaited = false;
        for (const part of this.uplink.generateParts(body)) {
            this.#waitingParts++;
            this.uplink.sendPart(part.length, () => {
                this.#waitingParts--;
                this.#writePart(part);
                if (hasWaited) {
                    this.#handleDrain();
                }
            }, this.#isWanted);
        }
        hasWaited = this.#waitingParts > 0;
        return !hasWaited && !this.response.writableNeedDrain;
    }

    sendEnd(): void {
        if (!this.#isEnded) {
            this.#isEnded = true;
            this.uplink.sendPart(0, () => this.response.end());
        }
    }

    /** Resets the connection, so that the caller can't take a truncated answer for a complete one. */
    resetConnection(): void {
        this.#isEnded = true;
        this.response.socket?.resetAndDestroy();
        this.response.destroy();
    }

    /** Sends an answer that this daemon generates itself. */
    sendDaemonAnswer(status: number, outcome: Outcome, text: string, headers: readonly string[] = []): void {
        if (this.#isEnded) {
            return;
        }
        this.#isEnded = true;
        const sentence = `${outcome === Outcome.NotRun ? "Not run" : "Outcome unknown"}: ${text}.\n`;
        this.#writeHead(status, [
            "content-type",
            "text/plain; charset=utf-8",
            "content-length",
            String(Buffer.byteLength(sentence)),
            ...headers,
        ]);
        this.response.end(sentence);
    }

    /** Sends the whole body and ends the answer. */
    #sendBody(body: Uint8Array | undefined): void {
        const bytes = body?.length ?? 0;
        if (body !== undefined && this.uplink.isDivided(bytes)) {
            for (const part of this.uplink.generateParts(body)) {
                this.uplink.sendPart(part.length, () => this.#writePart(part), this.#isWanted);
            }
            this.uplink.sendPart(0, () => this.response.end());
            return;
        }
        this.uplink.sendAnswer(bytes, () => {
            this.#recordSent(bytes);
            this.response.end(body);
        }, this.#isWanted);
        if (bytes < LARGE_ANSWER_BYTES) {
            this.uplink.recordSent(bytes);
        }
    }

    #writePart(part: Uint8Array): void {
        if (!this.response.destroyed) {
            this.#recordSent(part.length);
            this.response.write(part);
        }
    }

    #recordSent(bytes: number): void {
        this.uplink.traffic.record(LinkDirection.Out, LinkTrafficKind.CallerAnswers, bytes);
    }

    #handleDrain(): void {
        if (this.canTakeData) {
            this.onDrain?.();
        }
    }

    #selectFraming({ status }: AnswerHead, bodyBytes: number | undefined): AnswerFraming {
        const { httpVersionMinor: minorVersion, method } = this.request;
        return selectCallerFraming({ isHead: method === "HEAD", minorVersion, status }, bodyBytes);
    }

    #writeHead(status: number, headers: string[]): void {
        if (this.shouldClose()) {
            headers.push("connection", "close");
        }
        this.response.writeHead(status, headers);
    }
}

/** Checks a head that another daemon has passed on. */
function requireValidHead({ headers, status }: AnswerHead): void {
    if (!isFinalStatus(status) || headers.length % 2 > 0 || !isValidHeaderList(headers)) {
        throw new Error("the head of the answer is malformed");
    }
}
