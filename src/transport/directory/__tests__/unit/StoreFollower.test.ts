import { Left, Right } from "purify-ts/Either";
import { describe, expect, it } from "vitest";
import { VersionFreshness } from "../../../../coordination/distribution/index.js";
import type {
    ConfigurationReadResult,
    MeshStorePort,
    StoreError,
    StorePosition,
} from "../../../../state/store/index.js";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { realTimers } from "../../../timers/index.js";
import { StoreFollower } from "../../StoreFollower.js";

const CONFIRMED: StorePosition = { era: 0, revision: 7 };
const HISTORY_LOST: StoreError = { detail: "the store answered 410", kind: "refused", reason: "history" };
const SILENT: StoreError = { detail: "no answer in time", kind: "unknown" };

function createReading(revision: number): ConfigurationReadResult {
    return { configuration: { revision, text: "", version: revision }, position: { era: 0, revision } };
}

/**
 * A daemon whose version was confirmed at `CONFIRMED`, and a store that answers each check with the next of `errors` or, where
 * that is undefined, with a version; the last one is repeated.
 */
function createFollower(...errors: readonly (StoreError | undefined)[]) {
    const calls: string[] = [];
    const freshness = new VersionFreshness(0);
    freshness.recordOwn(CONFIRMED.revision);
    freshness.recordConfirmation(CONFIRMED.revision, CONFIRMED, 1);
    const store = {
        readConfiguration: async () => {
            calls.push("listing");
            return Right(createReading(9));
        },
        watchConfiguration: async (position: StorePosition, waitMs: number, timeoutMs?: number) => {
            const error = errors[Math.min(calls.length, errors.length - 1)];
            calls.push(`after ${position.revision}, ${waitMs} ms, at most ${timeoutMs} ms`);
            return error === undefined ? Right(createReading(8)) : Left(error);
        },
    } as unknown as MeshStorePort;
    const follower = new StoreFollower({
        applyReading: () => true,
        computeCheckDelayMs: () => Infinity,
        countDaemons: () => 1,
        freshness,
        log: createSilentLogger(),
        now: () => 100,
        onConfirmed: () => undefined,
        onFailed: () => undefined,
        onLeft: () => undefined,
        random: () => 0.5,
        shouldWatch: () => false,
        store,
        timers: realTimers,
    });
    return { calls, follower };
}

/** Guards against a daemon that takes over with a whole listing, waits long for a silent store, or stops at a lost history. */
describe("the first reading of a daemon that asks the store in place of others", () => {
    it("continues from the last confirmed position, with a short time for the answer", async () => {
        const { calls, follower } = createFollower(undefined);
        const reading = await follower.readNewest();
        expect(reading.map(({ at, position }) => [at, position.revision]).orDefault([])).toEqual([100, 8]);
        expect(calls).toEqual(["after 7, 1 ms, at most 400 ms"]);
    });

    it("lists the store at once when it no longer knows that position", async () => {
        const { calls, follower } = createFollower(HISTORY_LOST);
        const reading = await follower.readNewest();
        expect(reading.map(({ position }) => position.revision).orDefault(0)).toBe(9);
        expect(calls).toEqual(["after 7, 1 ms, at most 400 ms", "listing"]);
    });

    it("gives a store that has not answered twice the time at the next one", async () => {
        const { calls, follower } = createFollower(SILENT);
        expect((await follower.readNewest()).isLeft()).toBe(true);
        expect((await follower.readNewest()).isLeft()).toBe(true);
        expect(calls).toEqual(["after 7, 1 ms, at most 400 ms", "after 7, 1 ms, at most 800 ms"]);
    });
});
