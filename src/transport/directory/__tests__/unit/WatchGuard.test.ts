import { Left, Right } from "purify-ts/Either";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { StoreError } from "../../../../state/store/index.js";
import { AnswerTimeout } from "../../AnswerTimeout.js";
import { WatchGuard } from "../../WatchGuard.js";
import type { StoreReading, TimedReading } from "../../WatchGuard.js";

/** Time in which a store that no longer answers has to be noticed, so that another daemon can watch it in time. */
const NOTICE_MS = 1_000;
const WATCH_MS = 2_500;
const CONFIRM_AFTER_MS = 500;
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

function createReading(version?: number): TimedReading {
    const at = performance.now();
    return {
        at,
        configuration: version === undefined ? undefined : { revision: version, text: "", version },
        position: { era: 0, revision: version ?? 0 },
        workedUntil: at,
    };
}

interface TestStore {
    /** Time that an answer takes; Infinity for a store that is silent. */
    answerMs: number;
    checks: number;
    /** Version that a check tells. */
    version?: number;
}

/** Guards a watch that tells version 9 after `WATCH_MS`. */
function createGuardedWatch(store: TestStore) {
    const timeout = new AnswerTimeout();
    let confirmedAt = performance.now();
    const guard = new WatchGuard({
        computeCheckDelayMs: () => confirmedAt + CONFIRM_AFTER_MS - timeout.roundTripMs - performance.now(),
        onConfirmed: ({ at }) => {
            confirmedAt = at;
        },
        sleep,
    });
    const check = async (): Promise<StoreReading> => {
        store.checks++;
        const startedAt = performance.now();
        const { timeoutMs } = timeout;
        await sleep(Math.min(store.answerMs, timeoutMs));
        if (store.answerMs > timeoutMs) {
            timeout.recordMissedAnswer();
            return Left(SILENT);
        }
        timeout.recordAnswer(performance.now() - startedAt);
        return Right({ ...createReading(store.version), at: startedAt });
    };
    const watch = async (): Promise<string> => {
        const startedAt = performance.now();
        const result = await guard.awaitWatch(sleep(WATCH_MS).then(() => Right(createReading(9))), check);
        const outcome = result.map(({ configuration }) => `version ${configuration?.version}`).orDefault("failed");
        return `${outcome} after ${Math.round(performance.now() - startedAt)} ms`;
    };
    return { readAgeMs: () => performance.now() - confirmedAt, timeout, watch };
}

async function runWatch(store: TestStore): Promise<string> {
    const found = createGuardedWatch(store).watch();
    await vi.advanceTimersByTimeAsync(2 * WATCH_MS);
    return await found;
}

/** Guards against a watch that waits at a store that has become silent, and against alarms while the store is slow. */
describe("a watch that waits at the store", () => {
    it("ends with its version while checks are answered, and checks end with it", async () => {
        const store = { answerMs: 4, checks: 0 };
        expect(await runWatch(store)).toBe(`version 9 after ${WATCH_MS} ms`);
        expect(store.checks).toBeGreaterThanOrEqual(3);
        expect(store.checks).toBeLessThanOrEqual(5);
    });

    it("fails soon when the store has become silent", async () => {
        const result = await runWatch({ answerMs: Infinity, checks: 0 });
        expect(result).toMatch(/^failed/);
        expect(Number(/\d+/.exec(result)?.[0])).toBeLessThanOrEqual(NOTICE_MS);
    });

    it("goes on at a store that is slow for all, as the answer before has shown", async () => {
        const { timeout, watch } = createGuardedWatch({ answerMs: 450, checks: 0 });
        timeout.recordAnswer(200);
        const found = watch();
        await vi.advanceTimersByTimeAsync(2 * WATCH_MS);
        expect(await found).toBe(`version 9 after ${WATCH_MS} ms`);
    });

    it("ends at once with a version that a check has told, though the watch hangs", async () => {
        const result = await runWatch({ answerMs: 4, checks: 0, version: 7 });
        expect(result).toMatch(/^version 7/);
        expect(Number(/after (\d+)/.exec(result)?.[1])).toBeLessThanOrEqual(NOTICE_MS);
    });

    it("is confirmed before the confirmation gets old, also while answers take long", async () => {
        const { readAgeMs, timeout, watch } = createGuardedWatch({ answerMs: 240, checks: 0 });
        timeout.recordAnswer(240);
        const found = watch();
        let oldestMs = 0;
        for (let elapsedMs = 0; elapsedMs < WATCH_MS - 50; elapsedMs += 20) {
            await vi.advanceTimersByTimeAsync(20);
            oldestMs = Math.max(oldestMs, readAgeMs());
        }
        expect(oldestMs).toBeLessThanOrEqual(CONFIRM_AFTER_MS + 50);
        await vi.advanceTimersByTimeAsync(WATCH_MS);
        await found;
    });
});

describe("the time that the store has for an answer", () => {
    it("grows while answers are missed, so that a store that has become slow is not given up for good", () => {
        const timeout = new AnswerTimeout();
        const times = [timeout.timeoutMs];
        for (let missed = 0; missed < 4; missed++) {
            timeout.recordMissedAnswer();
            times.push(timeout.timeoutMs);
        }
        expect(times).toEqual([400, 800, 1_600, 2_000, 2_000]);
        timeout.recordAnswer(4);
        expect(timeout.timeoutMs).toBe(400);
    });
});
