import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { StoreError } from "../../../../state/store/index.js";
import { WatchGuard } from "../../WatchGuard.js";

/** Time in which a store that no longer answers has to be noticed, so that another daemon can watch it in time. */
const NOTICE_MS = 1_000;
const WATCH_MS = 2_500;
const SILENT: StoreError = { detail: "no answer in time", kind: "unreachable" };

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
});

afterEach(() => {
    vi.useRealTimers();
});

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

interface TestStore {
    /** Time that an answer takes; Infinity for a store that is silent. */
    answerMs: number;
    probes: number;
}

function createGuard(store: TestStore): WatchGuard {
    return new WatchGuard({
        now: () => performance.now(),
        probe: async timeoutMs => {
            store.probes++;
            await sleep(Math.min(store.answerMs, timeoutMs));
            return store.answerMs <= timeoutMs ? Right(undefined) : Left(SILENT);
        },
        sleep,
    });
}

/** Watches until the store answers after `WATCH_MS`; returns the result and the time that it took. */
async function watch(guard: WatchGuard): Promise<string> {
    const startedAt = performance.now();
    const result: Either<StoreError, string> = await guard.awaitWatch(
        sleep(WATCH_MS).then(() => Right<string, StoreError>("event")),
    );
    return `${result.isRight() ? "event" : "failed"} after ${Math.round(performance.now() - startedAt)} ms`;
}

async function runWatch(store: TestStore): Promise<string> {
    const found = watch(createGuard(store));
    await vi.advanceTimersByTimeAsync(2 * WATCH_MS);
    return await found;
}

/** Guards against a watch that waits at a store that has become silent, and against alarms while the store is slow. */
describe("a watch that waits at the store", () => {
    it("ends with its event while probes are answered, and probes end with it", async () => {
        const store = { answerMs: 4, probes: 0 };
        expect(await runWatch(store)).toBe(`event after ${WATCH_MS} ms`);
        expect(store.probes).toBeGreaterThanOrEqual(3);
        expect(store.probes).toBeLessThanOrEqual(5);
    });

    it("fails soon when the store has become silent", async () => {
        const result = await runWatch({ answerMs: Infinity, probes: 0 });
        expect(result).toMatch(/^failed/);
        expect(Number(/\d+/.exec(result)?.[0])).toBeLessThanOrEqual(NOTICE_MS);
    });

    it("goes on at a store that is slow for all, as the answer before has shown", async () => {
        const store = { answerMs: 450, probes: 0 };
        const guard = createGuard(store);
        guard.recordRoundTrip(200);
        const found = watch(guard);
        await vi.advanceTimersByTimeAsync(2 * WATCH_MS);
        expect(await found).toBe(`event after ${WATCH_MS} ms`);
    });
});
