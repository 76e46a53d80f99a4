/** Output for log lines that never waits: lines are written in batches, and dropped and counted beyond a limit. */
import { write } from "node:fs";

/** Lines held while the reader of the output is slow. */
const BUFFER_LIMIT_CHARACTERS = 262_144;
/** Time for which lines are collected before they are written together. */
const FLUSH_DELAY_MS = 200;

const STANDARD_OUTPUT = 1;
/** The output takes nothing at the moment. */
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

    /** Lines that were dropped since the start. */
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

    /** Writes what is held; resolves when it was written or can't be. */
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
            // Nobody reads the output any more; there is no other place to say so.
            this.#bufferedLength = this.#lines.reduce((sum, line) => sum + line.length, 0);
            this.#isWriting = false;
            onDone?.();
            if (this.#lines.length > 0) {
                this.#timer ??= setTimeout(() => this.#flush(), FLUSH_DELAY_MS).unref();
            }
        });
    }
}
