/**
 * Guards against a promotion before all old servers are known to be idle, a status that is written while rejected servers still
 * run requests, orders without an end, and two writers at once.
 */
import { describe, expect, it } from "vitest";
import { ALL_ROUTES, DecisionKind, OwnerPhase, planStep, RolloutStage, RolloutState } from "../../index.js";
import type { OwnerReport, Rollout, RouteSums } from "../../index.js";

const FINISH_MS = 12_000;

function createReport(ownerId: string, softwareVersion: string, fields: Partial<OwnerReport> = {}): OwnerReport {
    return {
        isDrained: false,
        orderRevision: 5,
        ownerId,
        phase: softwareVersion === "v2" ? OwnerPhase.Candidate : OwnerPhase.Open,
        sequence: 1,
        service: "ledger",
        slackUsed: 0,
        softwareVersion,
        sums: [],
        targetVersion: "v2",
        ...fields,
    };
}

function createRollout(stage: RolloutStage, reports: readonly OwnerReport[], decidedAt?: number): Rollout {
    const kind = stage === RolloutStage.Rejected ? DecisionKind.Rejected : DecisionKind.Promoting;
    return {
        decision: decidedAt === undefined
            ? undefined
            : { at: decidedAt, by: "a", kind, orderRevision: 5, reason: "", service: "ledger", targetVersion: "v2" },
        order: {
            base: 5,
            finishByMs: FINISH_MS,
            learnedAt: 0,
            revision: 6,
            service: "ledger",
            state: RolloutState.Running,
            targetVersion: "v2",
        },
        reports: new Map(reports.map(report => [report.ownerId, report])),
        stage,
    };
}

function createSums(requests: number): readonly RouteSums[] {
    const sums = { alarm: 0, bad: 0, ratio: -0.2 * requests, requests };
    return [{ ...sums, route: ALL_ROUTES }, { ...sums, route: "r-pay" }];
}

const plan = (rollout: Rollout, now: number, ownerIds: readonly string[] = ["old", "new"], delayMs = 0) =>
    planStep(rollout, { delayMs, now, ownerIds });

describe("the steps of an order", () => {
    it("promote only late, and only after enough answers", () => {
        const enough = createRollout(RolloutStage.Trial, [createReport("new", "v2", { sums: createSums(60) })]);
        expect(plan(enough, 8_900)).toBeUndefined();
        expect(plan(enough, 9_000)).toMatchObject({ decision: DecisionKind.Promoting });
        const few = createRollout(RolloutStage.Trial, [createReport("new", "v2", { sums: createSums(20) })]);
        expect(plan(few, 9_000)).toBeUndefined();
        expect(plan(few, 9_500)).toMatchObject({ decision: DecisionKind.Promoting });
        const none = createRollout(RolloutStage.Trial, [createReport("new", "v2", { sums: createSums(5) })]);
        expect(plan(none, 9_500)).toMatchObject({ decision: DecisionKind.Rejected });
    });

    it("leave the next writer by rank the time that it needs", () => {
        const enough = createRollout(RolloutStage.Trial, [createReport("new", "v2", { sums: createSums(60) })]);
        expect(plan(enough, 9_400, ["old", "new"], 500)).toBeUndefined();
        expect(plan(enough, 9_500, ["old", "new"], 500)).toMatchObject({ decision: DecisionKind.Promoting });
    });

    it("write a success only when each owner has the version or runs nothing", () => {
        const open = createReport("old", "v1");
        const candidate = createReport("new", "v2");
        expect(plan(createRollout(RolloutStage.Promoting, [candidate], 9_000), 9_100)).toBeUndefined();
        expect(plan(createRollout(RolloutStage.Promoting, [open, candidate], 9_000), 9_100)).toBeUndefined();
        const drained = createRollout(RolloutStage.Promoting, [{ ...open, isDrained: true }, candidate], 9_000);
        expect(plan(drained, 9_100)).toEqual({ kind: "write", state: RolloutState.Succeeded });
        expect(plan(createRollout(RolloutStage.Promoting, [candidate], 9_000), 9_100, ["new"])).toEqual({
            kind: "write",
            state: RolloutState.Succeeded,
        });
    });

    it("give a promotion up that can't end in time", () => {
        const stuck = createRollout(RolloutStage.Promoting, [createReport("new", "v2")], 9_000);
        expect(plan(stuck, 11_400)).toMatchObject({ decision: DecisionKind.Rejected });
    });

    it("write that a version is rolled back when its servers run nothing, or after a while", () => {
        const running = createRollout(RolloutStage.Rejected, [createReport("new", "v2")], 4_000);
        expect(plan(running, 4_100)).toBeUndefined();
        expect(plan(running, 6_500)).toEqual({ kind: "write", state: RolloutState.RolledBack });
        const drained = createRollout(RolloutStage.Rejected, [createReport("new", "v2", { isDrained: true })], 4_000);
        expect(plan(drained, 4_100)).toEqual({ kind: "write", state: RolloutState.RolledBack });
    });

    it("succeed at once for the version that is in force at all owners", () => {
        const inForce = ["old", "new"].map(id => createReport(id, "v2", { phase: OwnerPhase.Open }));
        const step = plan(createRollout(RolloutStage.Trial, inForce), 100);
        expect(step).toEqual({ kind: "write", state: RolloutState.Succeeded });
        expect(plan(createRollout(RolloutStage.Trial, inForce.slice(1)), 100)).toBeUndefined();
    });
});
