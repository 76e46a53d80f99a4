import type { RecordedAnswer } from "../../coordination/claims/index.js";

/** Keeps a copy of an answer while it is passed on, up to a limit. */
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

    /** True once a status came: the request has run, whether or not its answer was whole. */
    get hasStarted(): boolean {
        return this.#status !== 0;
    }

    begin(status: number, rawHeaders: readonly string[]): void {
        this.#status = status;
        for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
            const name = rawHeaders[index] as string;
            // Trailers are not kept, so they must not be announced again.
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

    /** The whole answer; undefined when it was cut or exceeds the limit. */
    read(): RecordedAnswer | undefined {
        return this.#isComplete && this.#bytes <= this.#maximumBytes
            ? { status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks) }
            : undefined;
    }
}
