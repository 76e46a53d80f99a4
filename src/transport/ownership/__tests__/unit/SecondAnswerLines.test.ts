import { describe, expect, it } from "vitest";
import { DropMoment, SecondAnswerMonitor } from "../../SecondAnswers.js";
import { createSilentLogger } from "../fixtures/Admission.js";

const LONGEST_LINE_CHARACTERS = 2_048;

function createMonitor() {
    const lines: { readonly sentence: string; readonly text: string; }[] = [];
    const monitor = new SecondAnswerMonitor({
        ...createSilentLogger(),
        info: (sentence, fields) => {
            lines.push({ sentence, text: JSON.stringify(fields) });
        },
    });
    return { lines, monitor };
}

/** Guards against log lines whose length a server decides, so that a few of them displace all others. */
describe("the line of a dropped answer", () => {
    it("is short when the id in the answer is long", () => {
        const { lines, monitor } = createMonitor();
        const requestId = "a".repeat(60_000);
        monitor.recordDropped({ moment: DropMoment.Waiting, requestId, status: 200, waitingId: "b" }, 0);
        expect(lines.map(({ text }) => text.length < LONGEST_LINE_CHARACTERS)).toEqual([true]);
    });

    it("is written while many requests come again", () => {
        const { lines, monitor } = createMonitor();
        for (let index = 0; index < 100; index++) {
            monitor.recordRepeat(`a${index}`, index);
        }
        monitor.recordDropped({ moment: DropMoment.Waiting, requestId: "a1", status: 200, waitingId: "b" }, 100);
        expect(lines.filter(({ sentence }) => sentence.startsWith("dropped")).length).toBe(1);
    });
});
