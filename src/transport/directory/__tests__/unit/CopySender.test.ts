import { describe, expect, it } from "vitest";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { CopySender } from "../../CopySender.js";

const WEAK_BYTES_PER_MS = 350;
const FAST_BYTES_PER_MS = 12_500;
const REQUESTS = 30;
/** Text that hardly compresses, about 16 KB. */
const TEXT = Array.from({ length: 1_800 }, (_value, index) => Math.sin(index).toString(36).slice(3)).join("");

/** Asks a daemon for its version many times at once; returns the bytes that it sends. */
function measureSentBytes(linkBytesPerMs: number): number {
    const sender = new CopySender({
        linkBytesPerMs,
        log: createSilentLogger(),
        sendConfiguration: () => undefined,
        sendDifference: () => undefined,
    });
    sender.setVersion(1, { revision: 1, text: TEXT, version: 1 });
    for (let index = 0; index < REQUESTS; index++) {
        sender.answerRequest(`daemon-${index}`, undefined, 0);
    }
    expect(sender.sentCopies.count + sender.ignoredRequests).toBe(REQUESTS);
    return sender.sentCopies.bytes;
}

// Guards against a weak link that is full of copies for others, and against a fast one that serves as few as a weak one.
describe("copies that many daemons ask for at once", () => {
    it("take a weak link for a fifth of a second at most", () => {
        expect(measureSentBytes(WEAK_BYTES_PER_MS) / WEAK_BYTES_PER_MS).toBeLessThan(200);
    });

    it("are all sent over a fast link", () => {
        expect(measureSentBytes(FAST_BYTES_PER_MS)).toBeGreaterThan(REQUESTS * 10_000);
    });
});
