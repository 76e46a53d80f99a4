import { describe, expect, it } from "vitest";
import { createTimers, scheduleTimeout, withTimeout, withTimeoutSignal } from "../../index.js";

interface Timer {
    readonly dueAt: number;
    readonly action: () => void;
}

/** An event loop whose iterations a test runs: expired timers first, then what has arrived, then what waits for reading. */
function createEventLoop() {
    let now = 0;
    const timers = new Set<Timer>();
    const arrived: (() => void)[] = [];
    let immediates = new Set<() => void>();
    const runIteration = (): void => {
        for (const timer of [...timers].filter(({ dueAt }) => dueAt <= now)) {
            if (timers.delete(timer)) {
                timer.action();
            }
        }
        arrived.splice(0).forEach(read => read());
        const due = immediates;
        immediates = new Set();
        due.forEach(action => action());
    };
    return {
        arrive: (read: () => void) => void arrived.push(read),
        /** Keeps the loop from all its work for a time. */
        hold: (ms: number) => {
            now += ms;
            runIteration();
        },
        readNow: () => now,
        run: (ms: number) => {
            for (const end = now + ms; now < end; now++) {
                runIteration();
            }
            runIteration();
        },
        timers: createTimers({
            runAfterReading: action => {
                const wrapped = (): void => action();
                immediates.add(wrapped);
                return () => immediates.delete(wrapped);
            },
            startTimer: (delayMs, action) => {
                const timer = { action, dueAt: now + delayMs };
                timers.add(timer);
                return () => timers.delete(timer);
            },
        }),
    };
}

/** Guards against decisions by a time that is over although what should have come in it lies in a socket. */
describe("a timer", () => {
    it("runs after what has arrived while the event loop was held", () => {
        const { arrive, hold, timers } = createEventLoop();
        const order: string[] = [];
        timers.after(100, () => order.push("timer"));
        arrive(() => order.push("answer"));
        hold(500);
        expect(order).toEqual(["answer", "timer"]);
    });

    it("can be cancelled by what is read after it has expired", () => {
        const { arrive, hold, run, timers } = createEventLoop();
        let runs = 0;
        const cancel = timers.after(100, () => runs++);
        arrive(cancel);
        hold(500);
        run(500);
        expect(runs).toBe(0);
    });
});

/** Guards against a process that takes its own delay for the silence of another one. */
describe("a time-out", () => {
    it("ends when the other process was silent for its time", () => {
        const { readNow, run, timers } = createEventLoop();
        let endedAt: number | undefined;
        scheduleTimeout(timers, 400, () => {
            endedAt = readNow();
        });
        run(399);
        expect(endedAt).toBeUndefined();
        run(2);
        expect(endedAt).toBeDefined();
    });

    it.each([0, 150, 290])(
        "counts a time for which the event loop is held as a quarter at most, held after %i ms",
        heldAfterMs => {
            const { hold, run, timers } = createEventLoop();
            let hasEnded = false;
            scheduleTimeout(timers, 400, () => {
                hasEnded = true;
            });
            run(heldAfterMs);
            hold(2_000);
            run(295 - heldAfterMs);
            expect(hasEnded).toBe(false);
            run(110);
            expect(hasEnded).toBe(true);
        },
    );

    it("aborts a call by its signal once the other process was silent for its time", async () => {
        const { hold, run, timers } = createEventLoop();
        const call = withTimeoutSignal(
            timers,
            400,
            signal =>
                new Promise<never>((_, reject) =>
                    signal.addEventListener("abort", () => reject(signal.reason as Error))
                ),
        );
        hold(1_000);
        run(290);
        const isOver = await Promise.race([call.catch(() => true), Promise.resolve(false)]);
        run(110);
        await expect(call).rejects.toMatchObject({ name: "TimeoutError" });
        expect(isOver).toBe(false);
    });

    it("takes an answer that comes in the meantime", async () => {
        const { arrive, hold, run, timers } = createEventLoop();
        const answer = withTimeout(
            timers,
            400,
            new Promise<string>(resolve => {
                run(1);
                arrive(() => resolve("answer"));
            }),
        );
        hold(3_000);
        expect(await answer).toBe("answer");
    });
});
