import { Left } from "purify-ts/Either";
import { describe, expect, it } from "vitest";
import { MemberState } from "../../../../state/members/index.js";
import type { MeshStorePort, StoreError } from "../../../../state/store/index.js";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { createMember } from "../../../sessions/__tests__/fixtures/SessionManagers.js";
import type { Timers } from "../../../timers/index.js";
import { MemberRegistry } from "../../index.js";
import { generateStoreDelays } from "../../StoreDelays.js";

const DAEMONS = 18_000;
/** Time over which the calls of all daemons are spread once their delays have grown: 5 ms for each. */
const SPREAD_MS = 90_000;
const UNREACHABLE: StoreError = { detail: "the store is unreachable", kind: "unreachable" };

/** Timers whose delays elapse at once; the registration stops after some of them. */
function createRecordedTimers(limit: number) {
    const delays: number[] = [];
    const timers: Timers = {
        after: (delayMs, action) => {
            delays.push(delayMs);
            if (delays.length < limit) {
                queueMicrotask(action);
            }
            return () => undefined;
        },
    };
    return { delays, timers };
}

/** Guards against a herd of daemons that started while the store was away and repeat their calls each second. */
describe("the delays before calls to the store are repeated", () => {
    it("grow once the other daemons have become known", () => {
        let known = 1;
        const delays = generateStoreDelays(() => known, () => 1);
        const alone = Array.from({ length: 8 }, () => delays.next().value);
        expect(Math.max(...alone)).toBe(1_000);
        known = DAEMONS;
        const together = Array.from({ length: 10 }, () => delays.next().value);
        expect(together.at(-1)).toBe(SPREAD_MS);
    });

    it("stay within a second on meshes of 200 daemons, so that records are back soon after an outage", () => {
        const delays = generateStoreDelays(() => 200, () => 1);
        expect(Math.max(...Array.from({ length: 12 }, () => delays.next().value))).toBe(1_000);
    });

    it("of a registration follow the number of daemons that became known by gossip", async () => {
        const { delays, timers } = createRecordedTimers(16);
        const registry = new MemberRegistry({
            firstListingDelayMs: 0,
            isFirstStart: false,
            log: createSilentLogger(),
            onMemberLeft: () => undefined,
            onMemberRemoved: () => undefined,
            onMemberUpdated: () => undefined,
            onRegistered: () => undefined,
            random: () => 1,
            self: createMember("self", 1),
            store: { listMembers: () => Promise.resolve(Left(UNREACHABLE)) } as Partial<MeshStorePort> as MeshStorePort,
            timers,
        });
        void registry.register();
        registry.merge(Array.from({ length: 1_000 }, (_value, index) => ({
            ...createMember(`daemon-${index}`, index + 2),
            state: MemberState.Live,
        })));
        await new Promise(resolve => setTimeout(resolve, 50));
        registry.stop();
        expect(delays.at(-1)).toBe(5_005);
    });
});
