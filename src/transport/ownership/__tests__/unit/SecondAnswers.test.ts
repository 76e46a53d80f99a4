import { afterEach, describe, expect, it } from "vitest";
import { DropMoment } from "../../index.js";
import { SecondAnswerMonitor } from "../../SecondAnswers.js";
import {
    createAdmissionController,
    createOwnedRequest,
    createSilentLogger,
    recordRequest,
} from "../fixtures/Admission.js";
import { formatAnswer, startRawServer } from "../fixtures/RawServer.js";
import type { AnswerRaw } from "../fixtures/RawServer.js";

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0).reverse()) {
        await cleanUp();
    }
});

async function openAdmission(answer: AnswerRaw) {
    const server = await startRawServer(answer);
    const admission = createAdmissionController(server.port);
    cleanups.push(() => server.close(), () => admission.closeAll());
    return admission;
}

function waitForReads(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, 20));
}

function createRecordingMonitor() {
    const lines: Readonly<Record<string, unknown>>[] = [];
    const monitor = new SecondAnswerMonitor({
        ...createSilentLogger(),
        info: (_sentence, fields = {}) => lines.push(fields),
    });
    return { lines, monitor };
}

const DROPPED = { moment: DropMoment.Idle, requestId: "a", status: 200, waitingId: undefined };

/** Guards against second answers of a server that nothing in logs and metrics shows. */
describe("an answer that no request waits for", () => {
    it.each([
        [DropMoment.Following, "in one read with the first answer", 0],
        [DropMoment.Idle, "after the first answer", 5],
    ])("is counted as %s when it comes %s", async (moment, _name, delayMs) => {
        const admission = await openAdmission((socket, id) => {
            const [first, second] = [formatAnswer(id, "first"), formatAnswer(id, "again")];
            socket.write(delayMs === 0 ? first + second : first);
            if (delayMs > 0) {
                setTimeout(() => socket.write(second), delayMs);
            }
        });
        const request = recordRequest();
        admission.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("answer 200 first");
        await waitForReads();
        for (const other of Object.values(DropMoment)) {
            expect(admission.secondAnswers.countDropped(other), other).toBe(other === moment ? 1 : 0);
        }
    });

    it("is counted as waiting when another request uses the connection", async () => {
        const admission = await openAdmission((socket, id, count) => {
            socket.write(
                count === 1 ? formatAnswer(id, "first") : formatAnswer("a", "again") + formatAnswer(id, "own"),
            );
        });
        for (const id of ["a", "b"]) {
            const request = recordRequest();
            admission.submit(createOwnedRequest(id), request.listener);
            await request.end;
            await waitForReads();
        }
        expect(admission.secondAnswers.countDropped(DropMoment.Waiting)).toBe(1);
        expect(admission.secondAnswers.repeats).toBe(0);
    });

    it("has ten lines a second at most, and the next line counts the others", () => {
        const { lines, monitor } = createRecordingMonitor();
        for (let count = 0; count < 30; count++) {
            monitor.recordDropped(DROPPED, 100 + count);
        }
        expect(lines.length).toBe(10);
        expect(lines[0]).toEqual({ moment: "idle", requestId: "a", status: 200, waitingRequestId: undefined });
        monitor.recordDropped(DROPPED, 1_200);
        expect(lines[10]).toMatchObject({ unloggedBefore: 20 });
        expect(monitor.countDropped(DropMoment.Idle)).toBe(31);
    });
});

/** Guards against a repeated id that nothing in logs and metrics shows. */
describe("a request that reaches its server again", () => {
    it("is counted when a connection has carried its id", async () => {
        const admission = await openAdmission((socket, id) => {
            socket.write(formatAnswer(id, "own"));
        });
        for (const id of ["a", "b", "a"]) {
            const request = recordRequest();
            admission.submit(createOwnedRequest(id), request.listener);
            expect(await request.end).toBe("answer 200 own");
            await waitForReads();
        }
        expect(admission.secondAnswers.repeats).toBe(1);
    });
});
