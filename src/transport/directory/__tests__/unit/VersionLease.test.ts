import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { deriveFreshnessLimits, VersionFreshness, VersionLag } from "../../../../coordination/distribution/index.js";
import { Distance } from "../../../../coordination/placement/index.js";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { realTimers } from "../../../timers/index.js";
import { MINIMUM_ANSWER_TIMEOUT_MS } from "../../DirectoryConstants.js";
import { LeaseState, RenewalOutcome, VersionLease } from "../../index.js";

const DEADLINE_MS = 3_000;
const LIMITS = deriveFreshnessLimits(DEADLINE_MS);
const OWN = 4;
const POSITION = { era: 0, revision: 9 };
const ANSWER_MS = 5;
/** Wait for other daemons before the store is read, and what the fake clock adds to the steps of waits. */
const ASKED_MS = 60;
const STEPS_MS = 20;

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

interface TestLeaseOptions {
    readonly daemons?: number;
    /** Version that other daemons confirm when they are asked; undefined when they don't answer. */
    readonly confirmedByOthers?: number;
    readonly answersStore?: boolean;
}

/** Lease of a daemon with version `OWN`, confirmed at 0, beside two others of which one has its version. */
function createLease({ answersStore = true, confirmedByOthers, daemons = 3 }: TestLeaseOptions) {
    const startedAt = Date.now();
    const now = (): number => Date.now() - startedAt;
    const asked: string[] = [];
    const state = { answersStore, receivedBytes: 0, storeAnswerMs: ANSWER_MS, storeBytes: 0, storeReads: 0 };
    const freshness = new VersionFreshness(0);
    freshness.recordOwn(OWN);
    freshness.recordConfirmation(OWN, POSITION, 0);
    const lag = new VersionLag();
    lag.recordOwn(OWN);
    const confirm = (version: number): void => {
        freshness.recordConfirmation(version, POSITION, now());
        lease.handleConfirmation();
    };
    const lease: VersionLease = new VersionLease({
        countDaemons: () => daemons,
        freshness,
        lag,
        limits: LIMITS,
        listReachable: () => ["a", "b"].map(id => ({ distance: Distance.SameDomain, id })),
        log: createSilentLogger(),
        now,
        random: () => 0.5,
        readReceivedBytes: () => ({ daemons: state.receivedBytes, store: state.storeBytes }),
        readStore: async () => {
            state.storeReads++;
            await new Promise(resolve => setTimeout(resolve, state.storeAnswerMs));
            if (state.answersStore) {
                confirm(OWN);
            }
            return state.answersStore;
        },
        requestStatus: id => {
            asked.push(id);
            if (confirmedByOthers !== undefined) {
                setTimeout(() => {
                    lag.recordPeer(id, confirmedByOthers, now());
                    confirm(confirmedByOthers);
                }, ANSWER_MS);
            }
            return true;
        },
        timers: realTimers,
    });
    return {
        advance: (ms: number) => vi.advanceTimersByTimeAsync(ms),
        asked,
        confirm,
        check: () => lease.check(OWN, now()),
        lease,
        now,
        state,
    };
}

/** Guards against decisions by a version that may have been replaced for longer than the deadline. */
describe("the lease of a version", () => {
    it("is valid while its confirmation is young, without a call to anybody", async () => {
        const { advance, asked, check, state } = createLease({ confirmedByOthers: OWN });
        await advance(LIMITS.renewLeaseAfterMs);
        expect(check()).toBe(LeaseState.Valid);
        await advance(100);
        expect([asked.length, state.storeReads]).toEqual([0, 0]);
    });

    it("is renewed by other daemons before it ends, without a call to the store", async () => {
        const { advance, asked, check, lease, state } = createLease({ confirmedByOthers: OWN });
        await advance(LIMITS.renewLeaseAfterMs + 1);
        expect(check()).toBe(LeaseState.Valid);
        await advance(ANSWER_MS);
        expect(lease.readAgeMs(OWN, LIMITS.renewLeaseAfterMs + 1 + ANSWER_MS)).toBe(0);
        expect([asked.length, state.storeReads]).toEqual([2, 0]);
    });

    it("ends before the deadline, and is renewed by one reading of the store for all requests that wait", async () => {
        const { advance, check, lease, state } = createLease({});
        await advance(DEADLINE_MS);
        expect(check()).toBe(LeaseState.Expired);
        const outcomes = Promise.all([lease.awaitRenewal(1_000), lease.awaitRenewal(1_000)]);
        await advance(200);
        expect(await outcomes).toEqual([RenewalOutcome.Renewed, RenewalOutcome.Renewed]);
        expect([check(), state.storeReads]).toEqual([LeaseState.Valid, 1]);
    });

    it("stays ended while a daemon that can be asked has a newer version, which is then known", async () => {
        const { advance, check, lease, state } = createLease({ confirmedByOthers: OWN + 2 });
        await advance(DEADLINE_MS);
        const outcome = lease.awaitRenewal(1_000);
        await advance(ANSWER_MS);
        expect(await outcome).toBe(RenewalOutcome.Renewed);
        expect([check(), lease.readNewest(DEADLINE_MS + ANSWER_MS)?.version]).toEqual([LeaseState.Expired, OWN + 2]);
        expect(state.storeReads).toBe(0);
    });

    it("isn't renewed by a newer version that no daemon can be asked for", async () => {
        const { advance, confirm, lease, state } = createLease({});
        await advance(DEADLINE_MS);
        const outcome = lease.awaitRenewal(1_000);
        confirm(OWN + 2);
        await advance(200);
        expect(await outcome).toBe(RenewalOutcome.Renewed);
        expect(state.storeReads).toBe(1);
    });

    it("names a newer version that was confirmed for the time of a lease only", async () => {
        const CONFIRMED_AT = 10;
        const { advance, confirm, lease } = createLease({});
        await advance(CONFIRMED_AT);
        confirm(OWN + 2);
        expect(lease.readNewest(CONFIRMED_AT + LIMITS.leaseMs)?.version).toBe(OWN + 2);
        expect(lease.readNewest(CONFIRMED_AT + LIMITS.leaseMs + 1)).toBeUndefined();
    });

    it("asks nobody for further requests while a daemon with a newer version can be asked for routes", async () => {
        const { advance, asked, check, lease } = createLease({ confirmedByOthers: OWN + 2 });
        await advance(DEADLINE_MS);
        const outcome = lease.awaitRenewal(1_000);
        await advance(ANSWER_MS);
        await outcome;
        check();
        await advance(100);
        expect(asked).toHaveLength(2);
    });

    it("lets a request go when its time is over before the renewal", async () => {
        const { advance, lease } = createLease({});
        await advance(DEADLINE_MS);
        const outcome = lease.awaitRenewal(30);
        // The fake clock runs an immediate 1 ms after the timer that has scheduled it.
        await advance(31);
        expect(await outcome).toBe(RenewalOutcome.OutOfTime);
    });

    it("spreads the readings of a large mesh over the time that the store needs for them", async () => {
        const { advance, asked, check, state } = createLease({ daemons: 1_000 });
        await advance(DEADLINE_MS);
        check();
        await advance(2_400);
        expect([state.storeReads, asked.length > 20]).toEqual([0, true]);
        await advance(1_000);
        expect(state.storeReads).toBe(1);
    });
});

/** Guards against callers without service while the store is away, and against a lease that never returns after it. */
describe("a lease that nobody renews", () => {
    it("holds requests once, not those after it", async () => {
        const { advance, check, lease } = createLease({ answersStore: false });
        await advance(DEADLINE_MS);
        const outcome = lease.awaitRenewal(5_000);
        await advance(300);
        expect(await outcome).toBe(RenewalOutcome.Unanswered);
        expect(check()).toBe(LeaseState.Unconfirmable);
    });

    it("holds requests for the usual time of the store only, and is renewed when its answer comes after that", async () => {
        const { advance, check, lease, state } = createLease({});
        state.storeAnswerMs = 2_000;
        await advance(DEADLINE_MS);
        const outcome = lease.awaitRenewal(5_000);
        await advance(ASKED_MS + MINIMUM_ANSWER_TIMEOUT_MS + STEPS_MS);
        expect(await outcome).toBe(RenewalOutcome.Unanswered);
        expect(check()).toBe(LeaseState.Unconfirmable);
        await advance(state.storeAnswerMs - MINIMUM_ANSWER_TIMEOUT_MS);
        expect([check(), state.storeReads]).toEqual([LeaseState.Valid, 1]);
    });

    it("is known to be unconfirmable soon after its end when a request has begun its renewal before", async () => {
        const { advance, check, state } = createLease({ answersStore: false });
        state.storeAnswerMs = 10_000;
        await advance(LIMITS.renewLeaseAfterMs + 1);
        expect(check()).toBe(LeaseState.Valid);
        await advance(ASKED_MS + MINIMUM_ANSWER_TIMEOUT_MS + STEPS_MS);
        expect(check()).toBe(LeaseState.Unconfirmable);
    });

    it("counts as before once another daemon has confirmed the version unasked, so that requests wait again", async () => {
        const { advance, check, confirm } = createLease({ answersStore: false });
        await advance(DEADLINE_MS);
        check();
        await advance(300);
        expect(check()).toBe(LeaseState.Unconfirmable);
        confirm(OWN);
        await advance(DEADLINE_MS);
        expect(check()).toBe(LeaseState.Expired);
    });

    it("is tried again by later requests, and counts as before once the store answers", async () => {
        const { advance, check, state } = createLease({ answersStore: false });
        await advance(DEADLINE_MS);
        check();
        await advance(300);
        state.answersStore = true;
        await advance(1_000);
        expect(check()).toBe(LeaseState.Unconfirmable);
        await advance(300);
        expect(check()).toBe(LeaseState.Valid);
        await advance(DEADLINE_MS);
        expect(check()).toBe(LeaseState.Expired);
    });
});

/** Guards against decisions by a replaced version at a VM whose link is full, which nothing excuses. */
describe("a renewal whose answers are late", () => {
    it("holds requests while messages of other daemons arrive, and no ping is answered promptly", async () => {
        const { advance, check, lease, state } = createLease({ answersStore: false });
        state.storeAnswerMs = 10_000;
        await advance(DEADLINE_MS);
        const outcome = lease.awaitRenewal(1_000);
        const arrivals = setInterval(() => state.receivedBytes++, 100);
        await advance(ASKED_MS + MINIMUM_ANSWER_TIMEOUT_MS + STEPS_MS);
        expect(check()).toBe(LeaseState.Expired);
        await advance(1_000);
        clearInterval(arrivals);
        expect(await outcome).toBe(RenewalOutcome.OutOfTime);
    });

    it("waits for an answer of the store that has begun to arrive, and reads it once", async () => {
        const { advance, check, lease, state } = createLease({});
        state.storeAnswerMs = 1_500;
        await advance(DEADLINE_MS);
        const outcome = lease.awaitRenewal(3_000);
        await advance(ASKED_MS + MINIMUM_ANSWER_TIMEOUT_MS / 2);
        state.storeBytes++;
        await advance(MINIMUM_ANSWER_TIMEOUT_MS);
        expect(check()).toBe(LeaseState.Expired);
        await advance(state.storeAnswerMs);
        expect([await outcome, state.storeReads]).toEqual([RenewalOutcome.Renewed, 1]);
    });

    it("holds no requests where pings are answered promptly, as the store is away then", async () => {
        const { advance, check, lease, now, state } = createLease({ answersStore: false });
        state.storeAnswerMs = 10_000;
        await advance(DEADLINE_MS);
        const outcome = lease.awaitRenewal(5_000);
        await advance(ASKED_MS + MINIMUM_ANSWER_TIMEOUT_MS / 2);
        state.receivedBytes++;
        lease.recordRoundTrip(ANSWER_MS, now());
        await advance(MINIMUM_ANSWER_TIMEOUT_MS);
        expect(await outcome).toBe(RenewalOutcome.Unanswered);
        expect(check()).toBe(LeaseState.Unconfirmable);
    });

    it("holds no requests where the store refuses connections, whatever arrives of other daemons", async () => {
        const { advance, check, state } = createLease({ answersStore: false });
        await advance(DEADLINE_MS);
        check();
        state.receivedBytes++;
        await advance(ASKED_MS + MINIMUM_ANSWER_TIMEOUT_MS + STEPS_MS);
        expect(check()).toBe(LeaseState.Unconfirmable);
    });

    it("takes no ping for prompt that was sent before the store was asked", async () => {
        const { advance, check, lease, now, state } = createLease({ answersStore: false });
        state.storeAnswerMs = 10_000;
        await advance(DEADLINE_MS);
        check();
        await advance(ASKED_MS + STEPS_MS);
        state.receivedBytes++;
        lease.recordRoundTrip(ASKED_MS, now());
        await advance(MINIMUM_ANSWER_TIMEOUT_MS + STEPS_MS);
        expect(check()).toBe(LeaseState.Expired);
    });
});
