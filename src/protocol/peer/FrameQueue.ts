/** Frames that wait from which on the sender should pause, and below which it should go on. */
const FULL_FRAMES = 256;
const EMPTY_FRAMES = 32;

/** Queue of received frames, consumed by a single reader. */
export class FrameQueue implements AsyncIterableIterator<Uint8Array> {
    private readonly queuedFrames: Uint8Array[] = [];
    private pendingRead: ((result: IteratorResult<Uint8Array>) => void) | undefined;
    private isEnded = false;
    private isFull = false;

    /** `onFull` is called with true once many frames wait, and with false once few do. */
    constructor(private readonly onFull: (isFull: boolean) => void = () => undefined) {}

    push(frame: Uint8Array): void {
        if (this.isEnded) {
            return;
        }
        const pendingRead = this.pendingRead;
        this.pendingRead = undefined;
        if (pendingRead === undefined) {
            this.queuedFrames.push(frame);
            this.setFull(this.isFull || this.queuedFrames.length >= FULL_FRAMES);
        }
        else {
            pendingRead({ done: false, value: frame });
        }
    }

    /** Ends the stream; frames already queued are still delivered. */
    end(): void {
        this.isEnded = true;
        this.pendingRead?.({ done: true, value: undefined });
        this.pendingRead = undefined;
    }

    next(): Promise<IteratorResult<Uint8Array>> {
        const frame = this.queuedFrames.shift();
        if (frame !== undefined) {
            this.setFull(this.isFull && this.queuedFrames.length > EMPTY_FRAMES);
            return Promise.resolve({ done: false, value: frame });
        }
        if (this.isEnded) {
            return Promise.resolve({ done: true, value: undefined });
        }
        return new Promise(resolve => {
            this.pendingRead = resolve;
        });
    }

    [Symbol.asyncIterator](): this {
        return this;
    }

    private setFull(isFull: boolean): void {
        if (isFull !== this.isFull) {
            this.isFull = isFull;
            this.onFull(isFull);
        }
    }
}
