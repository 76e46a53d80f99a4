/** A request on a connection to the server, and what is told of its answer. */
import type { ServerAnswerHeaders } from "../../protocol/dialect/index.js";
import type { AnswerFraming } from "../../protocol/framing/index.js";

/** Events of one request on a connection. Exactly one of `onEnd`, `onNotSent` and `onBroken` is called last. */
export interface ExchangeEvents {
    onHead(
        status: number,
        headers: readonly string[],
        framing: AnswerFraming,
        statement: ServerAnswerHeaders,
    ): void;
    onData(body: Uint8Array): void;
    onEnd(): void;
    /** No byte was sent: the connection could not be made. */
    onNotSent(detail: string): void;
    /** The server ended the connection (`isClosed`), or its answer was malformed, after the request was sent. */
    onBroken(detail: string, isClosed: boolean): void;
}

/** One request on a connection. */
export interface Exchange {
    readonly requestId: string;
    readonly isHead: boolean;
    readonly bytes: Uint8Array;
    readonly events: ExchangeEvents;
    isSent: boolean;
    /** Framing of its own answer; undefined until that has begun. */
    framing: AnswerFraming | undefined;
}
