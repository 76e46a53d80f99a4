import { describe, expect, it } from "vitest";
import { RuleJudge } from "../search/RuleJudge.js";
import type { SimulatedDaemon } from "../search/SimulatedDaemon.js";
import {
    formatAddedPath,
    formatDroppedPath,
    MOVING_PATH,
    ONCE_PATH,
    SimulatedVersions,
    SLOW_PATH,
    SPLIT_PATH,
} from "../search/SimulatedVersions.js";
import { createVm } from "../search/SimulatedVm.js";
import type { SimulatedVm } from "../search/SimulatedVm.js";

const DEADLINE_MS = 2_000;
const LEASE_MS = 1_900;
const STABLE_WINDOW_MS = 3_000;
/** Time of the acknowledgement of version 2. */
const CHANGED_AT = 1_000;
const OVERDUE_AT = CHANGED_AT + DEADLINE_MS + 100;

function createTestVm(index: number, version = 2): SimulatedVm {
    const vm = createVm({ domain: "a", index, region: "r", service: `s${index}`, weakness: 1 });
    vm.settledAt = 0;
    vm.daemon = { newestBelieved: version, version } as SimulatedDaemon;
    return vm;
}

interface TestJudge {
    readonly broken: string[];
    readonly caller: SimulatedVm;
    readonly owner: SimulatedVm;
    readonly judge: RuleJudge;
    /** Sends a request that a server runs, by the decision of a version. */
    run(path: string, sentAt: number, version: number, service: string): string;
    /** Sends a request that gets a status after some time. */
    answer(path: string, sentAt: number, status: number, version?: number, afterMs?: number): string;
}

/** A mesh of eight daemons, and so four services, whose version 2 was acknowledged. */
function createJudge(): TestJudge {
    const versions = new SimulatedVersions(8, 3);
    const broken: string[] = [];
    const judge = new RuleJudge({
        deadlineMs: DEADLINE_MS,
        leaseMs: LEASE_MS,
        onViolation: ({ rule }) => broken.push(rule),
        versions,
    });
    judge.recordVersion(2, CHANGED_AT);
    const caller = createTestVm(0);
    const owner = createTestVm(1, 1);
    let last = 0;
    const send = (path: string, sentAt: number): string => {
        const id = `request-${++last}`;
        const isConnected = caller.state.cutUntil < sentAt - STABLE_WINDOW_MS;
        judge.recordSent({ caller, id, incarnation: 1, isConnected, isUrgent: false, path, sentAt });
        return id;
    };
    return {
        answer: (path, sentAt, status, version, afterMs = 1) => {
            const id = send(path, sentAt);
            judge.recordAnswer(id, status, version, sentAt + afterMs);
            return id;
        },
        broken,
        caller,
        judge,
        owner,
        run: (path, sentAt, version, service) => {
            const id = send(path, sentAt);
            judge.recordRun(id, service, version, owner, sentAt + 1);
            return id;
        },
    };
}

/** Guards against rules of the users that the search doesn't judge, and against findings that the rules allow. */
describe("the judge of the search", () => {
    it("finds a version that decides after its successor's deadline, not before it", () => {
        const { broken, run } = createJudge();
        run(MOVING_PATH, CHANGED_AT + DEADLINE_MS, 1, "s1");
        run(formatDroppedPath(3), OVERDUE_AT, 1, "s3");
        expect(broken).toEqual([]);
        run(MOVING_PATH, OVERDUE_AT, 1, "s1");
        run(formatDroppedPath(2), OVERDUE_AT, 1, "s2");
        expect(broken).toEqual(["late", "late"]);
    });

    it("finds decisions without a confirmation at a sound daemon that has the store", () => {
        const { answer, broken, caller, judge } = createJudge();
        const decide = (ageMs: number | undefined): void =>
            judge.recordDecision(answer(MOVING_PATH, OVERDUE_AT, 200), ageMs, OVERDUE_AT + 50);
        decide(LEASE_MS + 50);
        expect(broken).toEqual([]);
        decide(LEASE_MS + 51);
        decide(undefined);
        expect(broken).toEqual(["unconfirmed", "unconfirmed"]);
        caller.hasStore = false;
        decide(undefined);
        caller.hasStore = true;
        caller.impairments.push({ from: 0, to: OVERDUE_AT });
        decide(undefined);
        expect(broken.length).toBe(2);
    });

    it("finds requests that no version decides on at a sound daemon with the store, once the last version is settled", () => {
        const { broken, caller, judge, run } = createJudge();
        const refuse = (sentAt: number): void => judge.recordUndecided(run(MOVING_PATH, sentAt, 2, "s2"), sentAt + 50);
        refuse(CHANGED_AT + DEADLINE_MS);
        expect(broken).not.toContain("undecided");
        refuse(OVERDUE_AT);
        expect(broken.filter(rule => rule === "undecided")).toHaveLength(1);
        caller.hasStore = false;
        refuse(OVERDUE_AT);
        caller.hasStore = true;
        caller.heldTimes.push({ from: 0, to: OVERDUE_AT });
        refuse(OVERDUE_AT);
        expect(broken.filter(rule => rule === "undecided")).toHaveLength(1);
    });

    it("finds runs by a part whose weight has become 0", () => {
        const { broken, judge, run } = createJudge();
        judge.recordVersion(3, CHANGED_AT);
        run(SPLIT_PATH, OVERDUE_AT, 2, "s0");
        expect(broken).toEqual(["late"]);
    });

    it("excuses a daemon while it is disturbed and for the stable window", () => {
        const { broken, caller, run } = createJudge();
        caller.impairments.push({ from: 0, to: OVERDUE_AT - 2_900 });
        run(MOVING_PATH, OVERDUE_AT, 1, "s1");
        expect(broken).toEqual([]);
        run(MOVING_PATH, OVERDUE_AT + 200, 1, "s1");
        expect(broken).toEqual(["late"]);
    });

    it("excuses a daemon that has just got its first version", () => {
        const { broken, caller, run } = createJudge();
        caller.settledAt = OVERDUE_AT + 100;
        run(MOVING_PATH, OVERDUE_AT, 1, "s1");
        expect(broken).toEqual([]);
        run(MOVING_PATH, OVERDUE_AT + 100, 1, "s1");
        expect(broken).toEqual(["late"]);
    });

    it("finds decisions that go back after the slack, which is longer on slow VMs", () => {
        const { broken, caller, run } = createJudge();
        run(MOVING_PATH, CHANGED_AT + 10, 2, "s2");
        run(MOVING_PATH, CHANGED_AT + 200, 1, "s1");
        caller.slowTimes.push({ from: 0, to: CHANGED_AT });
        run(MOVING_PATH, CHANGED_AT + 400, 1, "s1");
        expect(broken).toEqual([]);
        caller.slowTimes.length = 0;
        run(MOVING_PATH, CHANGED_AT + 400, 1, "s1");
        expect(broken).toEqual(["going back"]);
    });

    it("finds runs that no version allows, and those that the version of the owner forbids", () => {
        const { broken, owner, run } = createJudge();
        run(MOVING_PATH, CHANGED_AT, 2, "s0");
        expect(broken).toEqual(["never allowed"]);
        owner.daemon = { version: 2 } as SimulatedDaemon;
        run(MOVING_PATH, CHANGED_AT, 1, "s1");
        expect(broken).toEqual(["never allowed", "outdated run"]);
    });

    it("finds runs that another version than the one that decided allows", () => {
        const { broken, run } = createJudge();
        run(MOVING_PATH, CHANGED_AT, 2, "s2");
        expect(broken).toEqual([]);
        run(MOVING_PATH, CHANGED_AT, 1, "s2");
        expect(broken).toEqual(["misplaced"]);
    });

    it("finds 404 by a version that is known to be replaced, and late 404", () => {
        const { answer, broken } = createJudge();
        answer(formatAddedPath(2), CHANGED_AT + 10, 404, 2);
        answer(formatDroppedPath(2), CHANGED_AT + 10, 404, 2);
        expect(broken).toEqual([]);
        answer(formatAddedPath(2), CHANGED_AT + 10, 404, 1);
        expect(broken).toEqual(["denied"]);
        answer(formatAddedPath(2), OVERDUE_AT, 404, 1);
        expect(broken).toEqual(["denied", "denied", "late"]);
    });

    it("finds added routes that are served less than a quarter as often", () => {
        const { answer, broken, judge } = createJudge();
        for (let count = 0; count < 40; count++) {
            answer(MOVING_PATH, OVERDUE_AT, 200);
            answer(formatAddedPath(2), OVERDUE_AT, count % 5 === 0 ? 200 : 503);
        }
        judge.complete(OVERDUE_AT + 1_000);
        expect(broken).toEqual(["added routes"]);
    });

    it("finds requests without an answer half a second after their timeouts, unless they are few", () => {
        const late = createJudge();
        const few = createJudge();
        for (let count = 0; count < 12; count++) {
            late.answer(SLOW_PATH, OVERDUE_AT, 504, undefined, count < 6 ? 1_200 : 620);
            few.answer(SLOW_PATH, OVERDUE_AT, 504, undefined, count < 2 ? 1_200 : 620);
        }
        [late, few].forEach(({ judge }) => judge.complete(OVERDUE_AT + 5_000));
        expect([late.broken, few.broken]).toEqual([["timeouts"], []]);
    });

    it.each([
        { expected: [], impairedAfterMs: 700 },
        { expected: ["timeouts"], impairedAfterMs: 1_200 },
    ])("judges answers that are missing half a second after timeouts by the VM at that time: $impairedAfterMs ms", ({
        expected,
        impairedAfterMs,
    }) => {
        const { answer, broken, caller, judge } = createJudge();
        const at = OVERDUE_AT + impairedAfterMs;
        caller.impairments.push({ from: at, to: at });
        for (let count = 0; count < 12; count++) {
            answer(SLOW_PATH, OVERDUE_AT, 504, undefined, 1_300);
        }
        judge.complete(OVERDUE_AT + 5_000);
        expect(broken).toEqual(expected);
    });

    it.each([
        { expected: [], sinceCutMs: STABLE_WINDOW_MS - 100 },
        { expected: ["timeouts"], sinceCutMs: STABLE_WINDOW_MS + 100 },
    ])("judges missing answers once links have worked for the stable window: $sinceCutMs ms", ({
        expected,
        sinceCutMs,
    }) => {
        const { answer, broken, caller, judge } = createJudge();
        caller.state.cutUntil = OVERDUE_AT - sinceCutMs;
        for (let count = 0; count < 12; count++) {
            answer(SLOW_PATH, OVERDUE_AT, 504, undefined, 1_300);
        }
        judge.complete(OVERDUE_AT + 5_000);
        expect(broken).toEqual(expected);
    });

    it("finds a part of a split whose share is more than a fifth off, and of a settled version only", () => {
        const { broken, judge, run } = createJudge();
        for (let count = 0; count < 400; count++) {
            run(SPLIT_PATH, CHANGED_AT + 100, 2, "s0");
            run(SPLIT_PATH, OVERDUE_AT, 2, count % 4 === 0 ? "s0" : "s1");
        }
        judge.complete(OVERDUE_AT + 1_000);
        expect(broken).toEqual(["split", "split"]);
    });

    it("finds requests that run twice, or after a refusal as not run", () => {
        const { answer, broken, judge, owner, run } = createJudge();
        const twice = run(ONCE_PATH, CHANGED_AT, 1, "s2");
        judge.recordRun(twice, "s2", 1, owner, CHANGED_AT + 5);
        judge.recordRun(answer(ONCE_PATH, CHANGED_AT, 503), "s2", 1, owner, CHANGED_AT + 5);
        judge.recordAnswer(run(ONCE_PATH, CHANGED_AT, 1, "s2"), 503, undefined, CHANGED_AT + 5);
        expect(broken).toEqual(["twice", "refused", "refused"]);
    });

    it.each([
        { expected: ["unknown member"], sinceMs: 4_100 },
        { expected: [], sinceMs: 3_900 },
    ])("finds a daemon that doesn't know another one once both have been sound for 4 s: $sinceMs ms", ({
        expected,
        sinceMs,
    }) => {
        const { broken, caller, judge, owner } = createJudge();
        for (const vm of [caller, owner]) {
            vm.settledAt = OVERDUE_AT;
        }
        caller.daemon = { hasMember: () => true } as Partial<SimulatedDaemon> as SimulatedDaemon;
        owner.daemon = { hasMember: (id: string) => id === owner.id } as Partial<SimulatedDaemon> as SimulatedDaemon;
        judge.judgeMembers([caller, owner], OVERDUE_AT + sinceMs);
        expect(broken).toEqual(expected);
    });

    it("finds a daemon that reaches the store and lacks a version after its deadline", () => {
        const { broken, judge, owner } = createJudge();
        judge.judgeVersions([owner], CHANGED_AT + DEADLINE_MS);
        owner.hasStore = false;
        judge.judgeVersions([owner], OVERDUE_AT);
        expect(broken).toEqual([]);
        owner.hasStore = true;
        judge.judgeVersions([owner], OVERDUE_AT);
        expect(broken).toEqual(["not in force"]);
    });
});
