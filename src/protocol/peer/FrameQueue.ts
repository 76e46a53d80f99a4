/** Frames that arrived and were not yet taken; iterated by the one task of the connection. */
export class FrameQueue implements AsyncIterableIterator<Uint8Array> {
    private readonly waiting: Uint8Array[] = [];
    private taker: ((result: IteratorResult<Uint8Array>) => void) | undefined;
    private isEnded = false;

    push(frame: Uint8Array): void {
        if (this.isEnded) {
            return;
        }
        const taker = this.taker;
        this.taker = undefined;
        if (taker === undefined) {
            this.waiting.push(frame);
        }
        else {
            taker({ done: false, value: frame });
        }
    }

    /** Ends the stream; frames already queued are still delivered. */
    end(): void {
        this.isEnded = true;
        this.taker?.({ done: true, value: undefined });
        this.taker = undefined;
    }

    next(): Promise<IteratorResult<Uint8Array>> {
        const frame = this.waiting.shift();
        if (frame !== undefined) {
            return Promise.resolve({ done: false, value: frame });
        }
        if (this.isEnded) {
            return Promise.resolve({ done: true, value: undefined });
        }
        return new Promise(resolve => {
            this.taker = resolve;
        });
    }

    [Symbol.asyncIterator](): this {
        return this;
    }
}
