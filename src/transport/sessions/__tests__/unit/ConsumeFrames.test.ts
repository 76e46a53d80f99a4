import { describe, expect, it } from "vitest";
import { FrameQueue } from "../../../../protocol/peer/index.js";
import { encodeSessionMessage } from "../../../../protocol/session/index.js";
import { consumeFrames } from "../../ConsumeFrames.js";

const FRAME = encodeSessionMessage({ kind: "acknowledge", received: 1 });

/** Guards against a daemon whose many messages keep all other input waiting, or pile up meanwhile. */
describe("many messages of one daemon", () => {
    it("are handled with breaks, in which other events run", async () => {
        const frames = new FrameQueue();
        for (let count = 0; count < 200; count++) {
            frames.push(FRAME);
        }
        frames.end();
        let handled = 0;
        let longestRun = 0;
        let runStart = 0;
        let isOver = false;
        const watch = (): void => {
            longestRun = Math.max(longestRun, handled - runStart);
            runStart = handled;
            if (!isOver) {
                setImmediate(watch);
            }
        };
        setImmediate(watch);
        const connection = {
            close: () => undefined,
            frames,
            getBufferedBytes: () => 0,
            getReceivedBytes: () => 0,
            send: () => undefined,
        };
        await consumeFrames(connection, () => {
            handled++;
        });
        isOver = true;
        expect(handled).toBe(200);
        expect(longestRun).toBeGreaterThan(0);
        expect(longestRun).toBeLessThanOrEqual(64);
    });

    it("pause the connection once many wait, and let it go on once few do", async () => {
        const changes: boolean[] = [];
        const frames = new FrameQueue(isFull => void changes.push(isFull));
        for (let count = 0; count < 400; count++) {
            frames.push(FRAME);
        }
        expect(changes).toEqual([true]);
        for (let count = 0; count < 300; count++) {
            await frames.next();
        }
        expect(changes).toEqual([true]);
        for (let count = 0; count < 100; count++) {
            await frames.next();
        }
        expect(changes).toEqual([true, false]);
    });
});
