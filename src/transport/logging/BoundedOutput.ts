/** Non-blocking output for log lines: they are written in batches; beyond a limit they are dropped and counted. */
import { write } from "node:fs";

/** Maximum length of the lines that are buffered while the reader of the output is slow. */
const BUFFER_LIMIT_CHARACTERS = 262_144;
/** Time for which lines are collected before a write, and after which a write to a full pipe is retried. */
const FLUSH_DELAY_MS = 200;

const STANDARD_OUTPUT = 1;
/** Error code of a write to a full pipe. */
const WOULD_BLOCK_CODE = "EAGAIN";

/** Writes bytes and calls back with the number written, like `fs.write`. */
export type WriteBytes = (
    bytes: Buffer,
    onDone: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

const writeToStandardOutput: WriteBytes = (bytes, onDone) => {
    write(STANDARD_OUTPUT, bytes, onDone);
};

export class BoundedOutput {
    #lines: string[] = [];
    #bufferedLength = 0;
    #dropped = 0;
    #isWriting = false;
    #timer: NodeJS.Timeout | undefined;

    constructor(private readonly writeBytes: WriteBytes = writeToStandardOutput) {}

    /** Number of lines dropped since the start. */
    get dropped(): number {
        return this.#dropped;
    }

    write(line: string): boolean {
        if (this.#bufferedLength + line.length > BUFFER_LIMIT_CHARACTERS) {
            this.#dropped++;
            return false;
        }
        this.#lines.push(line);
        this.#bufferedLength += line.length;
        this.#timer ??= setTimeout(() => this.#flush(), FLUSH_DELAY_MS).unref();
        return true;
    }

    /** Writes the buffered lines; resolves when they were written or the output failed. */
    async end(): Promise<void> {
        clearTimeout(this.#timer);
        if (!this.#isWriting && this.#lines.length > 0) {
            await new Promise<void>(resolve => this.#flush(resolve));
        }
    }

    #flush(onDone?: () => void): void {
        this.#timer = undefined;
        if (this.#isWriting || this.#lines.length === 0) {
            onDone?.();
            return;
        }
        const bytes = Buffer.from(this.#lines.join(""));
        this.#lines = [];
        this.#isWriting = true;
        this.#writeAll(bytes, onDone);
    }

    #writeAll(bytes: Buffer, onDone: (() => void) | undefined): void {
        this.writeBytes(bytes, (error, written) => {
            const rest = bytes.subarray(error === null ? written : 0);
            if (rest.length > 0 && (error === null || error.code === WOULD_BLOCK_CODE)) {
                setTimeout(() => this.#writeAll(rest, onDone), FLUSH_DELAY_MS).unref();
                return;
            }
            // After any other error the output has no reader and the batch is lost; there is nowhere else to log it.
            this.#bufferedLength = this.#lines.reduce((sum, line) => sum + line.length, 0);
            this.#isWriting = false;
            onDone?.();
            if (this.#lines.length > 0) {
                this.#timer ??= setTimeout(() => this.#flush(), FLUSH_DELAY_MS).unref();
            }
        });
    }
}
