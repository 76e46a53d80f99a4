import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import { describe, expect, it } from "vitest";
import { VersionLag } from "../../../../coordination/distribution/index.js";
import type { ConfigurationReadResult, MeshStorePort, StoreError } from "../../../../state/store/index.js";
import type { TrafficConfiguration } from "../../../../state/traffic/index.js";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { ConfigurationManager } from "../../index.js";

const READING_MS = 20;

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
    let calls = 0;
    const read = async (): Promise<Either<StoreError, ConfigurationReadResult>> => {
        const version = ++calls;
        await new Promise(resolve => setTimeout(resolve, READING_MS));
        if (failingCalls.has(version)) {
            throw new TypeError("Cannot read properties of null");
        }
        return Right(createReading(version));
    };
    return new ConfigurationManager({
        countDaemons: () => 1,
        deadlineMs: 2_000,
        decode: ({ text }) => text === "" ? Left([]) : Right(createConfiguration(Number(text))),
        isRegistered: () => true,
        isSameRegion: () => true,
        lag: new VersionLag(),
        listReachable: () => [],
        log: createSilentLogger(),
        now: () => performance.now(),
        onChange,
        onConfirmed: () => undefined,
        onStoreRead: () => undefined,
        onWatchChanged: () => undefined,
        random: () => 0.5,
        requestConfiguration: () => undefined,
        selfId: "self",
        sendConfiguration: () => undefined,
        store: {
            readConfiguration: read,
            watchConfiguration: read,
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
