import { deflateRawSync } from "node:zlib";
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import { afterEach, describe, expect, it, vi } from "vitest";
import { deriveFreshnessLimits, VersionLag } from "../../../../coordination/distribution/index.js";
import type {
    ConfigurationReadResult,
    MeshStorePort,
    StoreError,
    StorePosition,
} from "../../../../state/store/index.js";
import type { TrafficConfiguration } from "../../../../state/traffic/index.js";
import { computeHash } from "../../../../state/versions/index.js";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { realTimers } from "../../../timers/index.js";
import { CHECK_WAIT_MS } from "../../DirectoryConstants.js";
import { ConfigurationManager } from "../../index.js";
import type { ConfigurationDifference } from "../../VersionDifferences.js";

const READING_MS = 20;

afterEach(() => {
    vi.useRealTimers();
});

/** For tests whose bound is a time, which would depend on the machine's load otherwise. */
function startSimulatedTime(): void {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
}

function createConfiguration(version: number): TrafficConfiguration {
    return {
        limits: { bodyBytes: 1, headerBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
        revision: version,
        routesByHost: new Map(),
        services: new Map(),
        version,
    };
}

function createReading(version: number): ConfigurationReadResult {
    return {
        configuration: { revision: version, text: String(version), version },
        position: { era: 1, revision: version },
    };
}

/** A manager whose store gives one version after the other; a call fails where `failingCalls` has its number. */
function createManager(failingCalls: ReadonlySet<number>, onChange: (configuration: TrafficConfiguration) => void) {
    return createStoreManager(createVersionReader(failingCalls), onChange, 2_000);
}

function createVersionReader(
    failingCalls: ReadonlySet<number>,
): () => Promise<Either<StoreError, ConfigurationReadResult>> {
    let calls = 0;
    return async () => {
        const version = ++calls;
        await new Promise(resolve => setTimeout(resolve, READING_MS));
        if (failingCalls.has(version)) {
            throw new TypeError("Cannot read properties of null");
        }
        return Right(createReading(version));
    };
}

/** A manager that gets its readings, watches and checks from `read`, which is called with the wait at the store. */
function createStoreManager(
    read: (waitMs: number | undefined) => Promise<Either<StoreError, ConfigurationReadResult>>,
    onChange: (configuration: TrafficConfiguration) => void,
    deadlineMs: number,
    onConfirmed: (watcherIds: readonly string[]) => void = () => undefined,
    isRegistered = true,
    requestConfiguration: (id: string, baseChecksum: string | undefined) => void = () => undefined,
    readStoreBytes: () => number = () => 0,
) {
    return new ConfigurationManager({
        countDaemons: () => 1,
        limits: deriveFreshnessLimits(deadlineMs),
        linkBytesPerMs: Infinity,
        decode: ({ text }) => text === "" ? Left([]) : Right(createConfiguration(Number(text))),
        isRegistered: () => isRegistered,
        isSameRegion: () => true,
        lag: new VersionLag(),
        listReachable: () => [],
        log: createSilentLogger(),
        now: () => performance.now(),
        onChange,
        onConfirmed,
        onStoreRead: () => undefined,
        onWatchChanged: () => undefined,
        random: () => 0.5,
        readReceivedBytes: () => 0,
        requestConfiguration,
        requestStatus: () => false,
        selfId: "self",
        timers: realTimers,
        sendConfiguration: () => undefined,
        sendDifference: () => undefined,
        store: {
            readConfiguration: () => read(undefined),
            readReceivedBytes: readStoreBytes,
            watchConfiguration: (_position: StorePosition, waitMs: number) => read(waitMs),
        } as unknown as MeshStorePort,
    });
}

async function awaitVersion(manager: ConfigurationManager, version: number): Promise<void> {
    manager.start();
    await expect.poll(() => manager.configuration?.version ?? 0, { timeout: 5_000 }).toBeGreaterThanOrEqual(version);
    manager.stop();
}

// Guards against a daemon that stops following the store after one unexpected error.
describe("the loop that follows the store", () => {
    it("goes on after the store's client has thrown", async () => {
        const manager = createManager(new Set([1, 3]), () => undefined);
        await awaitVersion(manager, 5);
    });

    it("goes on after a version could not be applied", async () => {
        const manager = createManager(new Set(), ({ version }) => {
            if (version === 2) {
                throw new RangeError("The value of \"msecs\" is out of range");
            }
        });
        await awaitVersion(manager, 5);
    });
});

/** Guards against a daemon that counts its version as the newest by the word of one that has a newer or no version. */
describe("the confirmation of the version in force", () => {
    const AGE_MS = 40;

    async function readAgeAfterStatus(statusVersion: number, statusAgeMs = AGE_MS): Promise<number> {
        const manager = createManager(new Set(), () => undefined);
        manager.applyVersion({ revision: 5, text: "5", version: 5 }, "test");
        await new Promise(resolve => setTimeout(resolve, 4 * AGE_MS));
        manager.recordStatus({
            confirmation: { ageMs: statusAgeMs, position: { era: 1, revision: 9 } },
            id: "other",
            membersDigest: 0,
            version: statusVersion,
            watches: [],
        });
        return manager.readConfirmedAgeMs();
    }

    it("is taken over from a daemon with the same version, with its age", async () => {
        const ageMs = await readAgeAfterStatus(5);
        expect(ageMs).toBeGreaterThanOrEqual(AGE_MS);
        expect(ageMs).toBeLessThan(3 * AGE_MS);
    });

    it("is taken over from a daemon with an older version, which was the newest then", async () => {
        expect(await readAgeAfterStatus(4)).toBeLessThan(3 * AGE_MS);
    });

    it("is not taken over from a daemon with a newer version", async () => {
        expect(await readAgeAfterStatus(6)).toBeGreaterThanOrEqual(3 * AGE_MS);
    });

    it("is never in the future, whatever another daemon says", async () => {
        expect(await readAgeAfterStatus(5, -5_000)).toBeGreaterThanOrEqual(0);
    });
});

/** Guards against a daemon that waits for a copy until its version has been outdated for longer than the deadline. */
describe("a version that is late at a daemon that doesn't watch the store", () => {
    const SHORT_DEADLINE_MS = 600;
    const WATCHER_IDS = Array.from({ length: 16 }, (_value, index) => `watcher-${index}`);

    it("is read from the store in time, though the daemon has just learned of it", async () => {
        startSimulatedTime();
        const read = async () => {
            await new Promise(resolve => setTimeout(resolve, READING_MS));
            return Right(createReading(9));
        };
        const manager = createStoreManager(read, () => undefined, SHORT_DEADLINE_MS);
        manager.applyVersion({ revision: 5, text: "5", version: 5 }, "test");
        manager.setRegion([...WATCHER_IDS, "self"].map(id => ({ failureDomain: "erie-a", id })));
        const recordStatus = (version: number) =>
            manager.recordStatus({
                confirmation: { ageMs: 0, position: { era: 1, revision: 5 } },
                id: "watcher-0",
                membersDigest: 0,
                version,
                watches: WATCHER_IDS.map(id => ({ ageMs: 0, id, isWorking: true })),
            });
        recordStatus(5);
        manager.start();
        await vi.advanceTimersByTimeAsync(SHORT_DEADLINE_MS / 2);
        recordStatus(9);
        await vi.advanceTimersByTimeAsync(SHORT_DEADLINE_MS / 2);
        manager.stop();
        expect(manager.configuration?.version).toBe(9);
    });
});

/** Guards against a confirmation for each watcher, where one of them is enough for all. */
describe("a daemon that has confirmed its version", () => {
    it("tells the other daemons that watch the store", async () => {
        const told: (readonly string[])[] = [];
        const read = async () => {
            await new Promise(resolve => setTimeout(resolve, READING_MS));
            return Right(createReading(5));
        };
        const manager = createStoreManager(read, () => undefined, 2_000, ids => told.push(ids));
        manager.recordStatus({
            confirmation: undefined,
            id: "other",
            membersDigest: 0,
            version: 5,
            watches: [{ ageMs: 0, id: "other", isWorking: true }],
        });
        await awaitVersion(manager, 5);
        expect(told[0]).toEqual(["other"]);
    });
});

/** Guards against a slow watcher in whose place nobody takes over, since it says that its watch has just worked. */
describe("the report of a daemon on its own watch", () => {
    const ANSWER_MS = 300;
    /** Timers may run a little early by the steady clock. */
    const TIMER_TOLERANCE_MS = 2;

    it("is as old as the last check that was answered, however late its answer was read", async () => {
        const read = async (waitMs: number | undefined) => {
            const isCheck = waitMs === CHECK_WAIT_MS;
            await new Promise(resolve => setTimeout(resolve, isCheck ? ANSWER_MS : waitMs ?? READING_MS));
            const { configuration, position } = createReading(5);
            return Right({ configuration: isCheck ? undefined : configuration, position });
        };
        const ages: number[] = [];
        const manager = createStoreManager(read, () => undefined, 600, () => {
            ages.push(...manager.listWatches().map(({ ageMs }) => ageMs));
        });
        manager.start();
        await expect.poll(() => ages.length, { timeout: 5_000 }).toBeGreaterThan(1);
        manager.stop();
        expect(ages.at(-1)).toBeGreaterThanOrEqual(ANSWER_MS - TIMER_TOLERANCE_MS);
    });
});

/** Guards against a watch that the store cuts short, and whose answer counts as new when it is read late. */
describe("the confirmation by a watch that tells no version", () => {
    const ANSWER_MS = 300;
    const TIMER_TOLERANCE_MS = 2;

    it("is as old as the watch, whose answer may have been on its way for as long", async () => {
        const read = async (waitMs: number | undefined) => {
            const isWatch = waitMs !== undefined && waitMs !== CHECK_WAIT_MS;
            await new Promise(resolve => setTimeout(resolve, isWatch ? ANSWER_MS : READING_MS));
            const { configuration, position } = createReading(5);
            return Right({ configuration: isWatch ? undefined : configuration, position });
        };
        const ages: number[] = [];
        const manager = createStoreManager(read, () => undefined, 10_000, () => {
            ages.push(manager.readConfirmedAgeMs());
        });
        manager.start();
        await expect.poll(() => ages.length, { timeout: 5_000 }).toBeGreaterThan(1);
        manager.stop();
        expect(ages[1]).toBeGreaterThanOrEqual(ANSWER_MS - TIMER_TOLERANCE_MS);
    });
});

/** Guards against a daemon that goes on with a version that nobody confirms, since the store keeps it from registering. */
describe("a daemon that has not read the records of the others", () => {
    const DEADLINE_MS = 1_500;

    function createUnregisteredManager() {
        const calls: (number | undefined)[] = [];
        const read = async (waitMs: number | undefined) => {
            calls.push(waitMs);
            await new Promise(resolve => setTimeout(resolve, waitMs ?? READING_MS));
            return Right(createReading(9));
        };
        return { calls, manager: createStoreManager(read, () => undefined, DEADLINE_MS, () => undefined, false) };
    }

    it("reads the store in time once nobody confirms the version that it has", async () => {
        startSimulatedTime();
        const { manager } = createUnregisteredManager();
        manager.start();
        manager.applyVersion({ revision: 5, text: "5", version: 5 }, "other");
        await vi.advanceTimersByTimeAsync(DEADLINE_MS);
        manager.stop();
        expect(manager.configuration?.version).toBe(9);
    });

    it("leaves the store to the registration as long as it has no version", async () => {
        const { calls, manager } = createUnregisteredManager();
        manager.start();
        await new Promise(resolve => setTimeout(resolve, DEADLINE_MS));
        manager.stop();
        expect(calls).toEqual([]);
    });
});

/** Guards against a version that is in force in part, or wrongly put together, after a difference that doesn't fit. */
describe("a version that comes as a difference", () => {
    const OWN = "1";
    const NEXT = "2";

    /** A manager with version 1, and the requests for copies that it sends. */
    function createReceiver() {
        const requested: (string | undefined)[] = [];
        const unanswered = new Promise<never>(() => undefined);
        const manager = createStoreManager(
            () => unanswered,
            () => undefined,
            2_000,
            () => undefined,
            true,
            (_id, baseChecksum) => requested.push(baseChecksum),
        );
        manager.applyVersion({ revision: 1, text: OWN, version: 1 }, "store");
        return { manager, requested };
    }

    const createDifference = (fields: Partial<ConfigurationDifference> = {}): ConfigurationDifference => ({
        baseChecksum: computeHash(OWN),
        checksum: computeHash(NEXT),
        compressedParts: deflateRawSync(JSON.stringify([NEXT])),
        revision: 2,
        version: 2,
        ...fields,
    });

    it("is put in force when it fits", () => {
        const { manager, requested } = createReceiver();
        manager.applyDifference(createDifference(), "other");
        expect([manager.configuration?.version, manager.text?.text, requested]).toEqual([2, NEXT, []]);
    });

    it.each([
        ["starts from another version", { baseChecksum: computeHash("other") }],
        ["leads to another text", { checksum: computeHash("other") }],
        ["isn't compressed", { compressedParts: Buffer.from("{") }],
        ["has malformed parts", { compressedParts: deflateRawSync(JSON.stringify([[0, -1]])) }],
        ["names a range outside of the version", { compressedParts: deflateRawSync(JSON.stringify([[0, 9]])) }],
    ])("is dropped for a whole copy when it %s", (_name, fields) => {
        const { manager, requested } = createReceiver();
        manager.applyDifference(createDifference(fields), "other");
        expect([manager.configuration?.version, manager.text?.text, requested]).toEqual([1, OWN, [undefined]]);
    });

    it("is ignored when it isn't newer", () => {
        const { manager, requested } = createReceiver();
        manager.applyDifference(createDifference({ version: 1 }), "other");
        expect([manager.text?.text, requested]).toEqual([OWN, []]);
    });
});

/** Guards against a weak link that carries the same answer of the store several times at once. */
describe("a reading of the store for lack of copies", () => {
    const STEP_MS = 100;

    /** Counts the readings in 6 s in which a daemon knows of a newer version and gets no copy. */
    async function countReadings(receiveBytes: () => number): Promise<number> {
        startSimulatedTime();
        let readings = 0;
        const manager = createStoreManager(
            () => {
                readings++;
                return new Promise(() => undefined);
            },
            () => undefined,
            2_000,
            () => undefined,
            true,
            () => undefined,
            receiveBytes,
        );
        manager.applyVersion({ revision: 1, text: "1", version: 1 }, "store");
        for (let elapsedMs = 0; elapsedMs < 6_000; elapsedMs += STEP_MS) {
            manager.recordVersion("other", 2);
            await vi.advanceTimersByTimeAsync(STEP_MS);
        }
        return readings;
    }

    it("isn't begun anew while its answer arrives", async () => {
        let bytes = 0;
        expect(await countReadings(() => bytes += 100)).toBe(1);
    });

    it("is begun anew while nothing arrives", async () => {
        expect(await countReadings(() => 0)).toBeGreaterThan(1);
    });
});
