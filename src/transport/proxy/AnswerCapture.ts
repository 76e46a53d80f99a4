import type { RecordedAnswer } from "../../coordination/claims/index.js";

/** Copies an answer, up to a maximum size, while it is passed to the caller. */
export class AnswerCapture {
    readonly #maximumBytes: number;
    #status = 0;
    #headers: (readonly [string, string])[] = [];
    #chunks: Buffer[] = [];
    #bytes = 0;
    #isComplete = false;

    constructor(maximumBytes: number) {
        this.#maximumBytes = maximumBytes;
    }

    /** Whether a status was received: the request has run, even if its answer is incomplete. */
    get hasStarted(): boolean {
        return this.#status !== 0;
    }

    begin(status: number, rawHeaders: readonly string[]): void {
        this.#status = status;
        for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
            const name = rawHeaders[index] as string;
            // Trailers are not recorded, so a repeated answer must not announce them.
            if (name.toLowerCase() !== "trailer") {
                this.#headers.push([name, rawHeaders[index + 1] as string]);
            }
        }
    }

    append(chunk: Buffer): void {
        this.#bytes += chunk.length;
        if (this.#bytes <= this.#maximumBytes) {
            this.#chunks.push(Buffer.from(chunk));
        }
        else {
            this.#chunks = [];
        }
    }

    end(): void {
        this.#isComplete = true;
    }

    /** The complete answer; undefined when it was cut or exceeds the maximum size. */
    read(): RecordedAnswer | undefined {
        return this.#isComplete && this.#bytes <= this.#maximumBytes
            ? { status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks) }
            : undefined;
    }
}
