/**
 * Guards against daemons that come to different verdicts when records cross, repeat or get lost, against a rejected version
 * that is opened again by an older record, and against an order that begins anew with the verdict of the one before.
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
    DecisionKind,
    isFinal,
    NO_RECORDS,
    OwnerPhase,
    RolloutLedger,
    RolloutStage,
    RolloutState,
} from "../../index.js";
import type { OwnerReport, RolloutDecision, RolloutOrder, RolloutRecords } from "../../index.js";

const SERVICE = "ledger";

function createOrder(fields: Partial<RolloutOrder> = {}): RolloutOrder {
    const revision = fields.revision ?? 5;
    return {
        base: revision,
        finishByMs: 12_000,
        learnedAt: 0,
        revision,
        service: SERVICE,
        state: undefined,
        targetVersion: "v2",
        ...fields,
    };
}

function createDecision(kind: DecisionKind, orderRevision = 5): RolloutDecision {
    return { at: 0, by: "a", kind, orderRevision, reason: "", service: SERVICE, targetVersion: "v2" };
}

function createReport(ownerId: string, sequence: number): OwnerReport {
    return {
        isDrained: false,
        orderRevision: 5,
        ownerId,
        phase: OwnerPhase.Candidate,
        sequence,
        service: SERVICE,
        slackUsed: sequence,
        softwareVersion: "v2",
        sums: [],
        targetVersion: "v2",
    };
}

/** Histories of one order, as daemons see parts of it: one record of any kind each. */
const records: readonly RolloutRecords[] = [
    { ...NO_RECORDS, orders: [createOrder()] },
    { ...NO_RECORDS, orders: [createOrder({ base: 5, revision: 6, state: RolloutState.Running })] },
    { ...NO_RECORDS, orders: [createOrder({ revision: 6, state: RolloutState.Running })] },
    { ...NO_RECORDS, orders: [createOrder({ revision: 9, state: RolloutState.RolledBack })] },
    { ...NO_RECORDS, decisions: [createDecision(DecisionKind.Promoting)] },
    { ...NO_RECORDS, decisions: [createDecision(DecisionKind.Rejected)] },
    { ...NO_RECORDS, reports: [createReport("a", 1)] },
    { ...NO_RECORDS, reports: [createReport("a", 2)] },
    { ...NO_RECORDS, reports: [createReport("b", 1)] },
];

function mergeAll(indexes: readonly number[]): RolloutLedger {
    const ledger = new RolloutLedger();
    for (const index of indexes) {
        ledger.merge(records[index] as RolloutRecords);
    }
    return ledger;
}

describe("records of an order", () => {
    it("lead to one state in whatever order they come, once they are exchanged", () => {
        const indexes = fc.array(fc.nat({ max: records.length - 1 }), { maxLength: 20 });
        fc.assert(
            fc.property(indexes, indexes, (left, right) => {
                const ledgers = [mergeAll(left), mergeAll(right)] as const;
                // Daemons send all that they know when they connect, and pass on what was new.
                for (let round = 0; round < 3; round++) {
                    ledgers[0].merge(ledgers[1].listRecords());
                    ledgers[1].merge(ledgers[0].listRecords());
                }
                const summaries = ledgers.map(ledger => {
                    const rollout = ledger.find(SERVICE);
                    // Reports on an order that is over decide nothing and aren't sent.
                    const reports = isFinal(rollout?.order.state) ? [] : [...rollout?.reports ?? []].sort();
                    return [rollout?.order, rollout?.stage, reports];
                });
                expect(summaries[0]).toEqual(summaries[1]);
            }),
            { numRuns: 2_000, seed: 1 },
        );
    });

    it("never lead back from a final status", () => {
        fc.assert(
            fc.property(fc.array(fc.nat({ max: records.length - 1 })), later => {
                const ledger = mergeAll([0, 3]);
                later.forEach(index => ledger.merge(records[index] as RolloutRecords));
                expect(ledger.find(SERVICE)?.stage).toBe(RolloutStage.RolledBack);
            }),
            { numRuns: 1_000, seed: 2 },
        );
    });

    it("put a rejection before a promotion, whichever came first", () => {
        expect(mergeAll([0, 5, 4]).find(SERVICE)?.stage).toBe(RolloutStage.Rejected);
        expect(mergeAll([0, 4, 5]).find(SERVICE)?.stage).toBe(RolloutStage.Rejected);
    });

    it("begin anew with an order of another version, without the verdict on the first", () => {
        const ledger = mergeAll([0, 5]);
        ledger.merge({ ...NO_RECORDS, orders: [createOrder({ revision: 20, targetVersion: "v3" })] });
        ledger.merge({ ...NO_RECORDS, decisions: [createDecision(DecisionKind.Rejected)], orders: [createOrder()] });
        expect(ledger.find(SERVICE)).toMatchObject({ order: { targetVersion: "v3" }, stage: RolloutStage.Trial });
    });

    it("begin anew with the same version after a final status that was taken back", () => {
        const ledger = mergeAll([0, 5, 3]);
        ledger.merge({ ...NO_RECORDS, orders: [createOrder({ revision: 12 })] });
        expect(ledger.find(SERVICE)?.stage).toBe(RolloutStage.Trial);
    });
});
