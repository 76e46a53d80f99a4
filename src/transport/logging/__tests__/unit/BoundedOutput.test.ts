import { describe, expect, it } from "vitest";
import { BoundedOutput } from "../../index.js";
import type { WriteBytes } from "../../index.js";

const LINE = `${"x".repeat(999)}\n`;

// Guards against a slow reader of the log that blocks the process, grows its memory or loses buffered lines.
describe("BoundedOutput with a slow reader", () => {
    it("drops and counts lines beyond the limit", () => {
        const neverDone: WriteBytes = () => undefined;
        const output = new BoundedOutput(neverDone);
        for (let count = 0; count < 400; count++) {
            output.write(LINE);
        }
        expect(output.dropped).toBe(400 - 262);
    });

    it("continues after a partial write and after a write to a full pipe", async () => {
        const written: string[] = [];
        let calls = 0;
        const output = new BoundedOutput((bytes, onDone) => {
            calls++;
            if (calls === 1) {
                onDone(Object.assign(new Error("busy"), { code: "EAGAIN" }), 0);
                return;
            }
            const part = bytes.subarray(0, 3);
            written.push(part.toString());
            onDone(null, part.length);
        });
        output.write("abcdef\n");
        await output.end();
        expect(written.join("")).toBe("abcdef\n");
    });

    it("accepts lines again after the buffered ones were written", async () => {
        const output = new BoundedOutput((bytes, onDone) => onDone(null, bytes.length));
        for (let count = 0; count < 300; count++) {
            output.write(LINE);
        }
        await output.end();
        expect(output.write(LINE)).toBe(true);
    });
});
