/** Guards the test of the rule against blindness: each of these broken variants has to be found by it. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
    ALLOCATOR_RULES,
    CLIENT_RULES,
    GRANT_LEDGER_RULES,
    HOLDER_RULES,
    LENDER_RULES,
    QuotaAllocator,
    QuotaHolder,
    ShareLender,
    TenantLimits,
} from "../../index.js";
import type { AllocatorRules, HolderRules, LenderRules } from "../../index.js";
import { findViolation, histories } from "../fixtures/QuotaHistory.js";
import { MESH_RULES } from "../fixtures/QuotaMesh.js";
import type { MeshRules } from "../fixtures/QuotaMesh.js";

const SEED = 417;
const MAXIMUM_HISTORIES = 3_000;

function withAllocator(change: Partial<AllocatorRules>): MeshRules {
    return { ...MESH_RULES, allocator: { ...ALLOCATOR_RULES, ...change } };
}

function withHolder(change: Partial<HolderRules>): MeshRules {
    return { ...MESH_RULES, client: { ...CLIENT_RULES, holder: { ...HOLDER_RULES, ...change } } };
}

function withLender(change: Partial<LenderRules>): MeshRules {
    return { ...MESH_RULES, client: { ...CLIENT_RULES, lender: { ...LENDER_RULES, ...change } } };
}

const BROKEN: Readonly<Record<string, MeshRules>> = {
    "a daemon lends to two allocators at once": withLender({ lendsTwice: true }),
    "a restarted daemon takes itself for a new one": { ...MESH_RULES, isAlwaysFirst: true },
    "a share doesn't rest after a loan": withLender({ rests: false }),
    "loans to an earlier process of the allocator count": withAllocator({ countsLoansOfOthers: true }),
    "the allocator counts on unacknowledged grants": withAllocator({
        ledger: { ...GRANT_LEDGER_RULES, forgetsUnacknowledged: true },
    }),
    "the allocator doesn't let ended grants rest": withAllocator({ ledger: { ...GRANT_LEDGER_RULES, rests: false } }),
    "the allocator ignores what others hold": withAllocator({ ignoresOthers: true }),
    "the allocator ignores what was used": withAllocator({ ledger: { ...GRANT_LEDGER_RULES, ignoresUses: true } }),
    "the holder doesn't end its grants": withHolder({ ignoresEnd: true }),
    "the holder doesn't report its uses": withHolder({ hidesUses: true }),
    "the holder uses its share while it is lent": withHolder({ usesLentShare: true }),
};

describe("a broken variant of quotas is found", () => {
    it.each(Object.entries(BROKEN))("%s", (_, rules) => {
        const isFound = fc.sample(histories, { numRuns: MAXIMUM_HISTORIES, seed: SEED })
            .some(history => history.count <= 12 && findViolation(history, rules) !== undefined);
        expect(isFound).toBe(true);
    });
});

const LIMITS = new TenantLimits([{ burst: 0, name: "ledger", ratePerSecond: 20 }]);
const WINDOW_MS = 5_000;
const OWN_RUN = 7;

/** Demand of a daemon that lends all limits. */
function buildDemand(sequence: number, grantSequence: number) {
    const entries = [{ refused: 0, tenant: 0, used: 0, wanted: 50 }];
    return { allocatorRun: OWN_RUN, entries, grantSequence, run: 1, sequence, shareDivisor: 1, table: LIMITS.hash };
}

/** What is granted 2 s after a loan that took `transitMs` to arrive. */
function measureLateGrant(rules: AllocatorRules, transitMs: number): number {
    const allocator = new QuotaAllocator(OWN_RUN, LIMITS, WINDOW_MS, rules);
    allocator.handleDemand("erie-1", buildDemand(1, 0), transitMs, 0);
    return allocator.buildGrant("erie-1", 1, 2_000)?.entries.length ?? 0;
}

/** Requests that proceed at `now`, 8 at once at most, by grants that arrive in the given order for a demand that was sent at 0. */
function countProceeding(rules: HolderRules, sequences: readonly number[], now: number): number {
    const holder = new QuotaHolder(LIMITS, new ShareLender(0, WINDOW_MS, false), WINDOW_MS, 0, rules);
    for (const sequence of sequences) {
        const entries = [{ quota: 10 / sequence, tenant: 0 }];
        const grant = { demandSequence: 1, entries, holderRun: 1, run: OWN_RUN, sequence, table: LIMITS.hash };
        holder.applyGrant(grant, 0, now);
    }
    return Array.from({ length: 20 }, () => holder.take("ledger", now)).filter(wait => wait === undefined).length;
}

/** Random histories rarely need these rules, since uses rest for a window after a grant or loan. */
describe("a broken variant is found by a case of its own", () => {
    it("grants outlast the loans behind them", () => {
        expect(measureLateGrant(ALLOCATOR_RULES, 0)).toBe(0);
        expect(measureLateGrant({ ...ALLOCATOR_RULES, outlastsLoans: true }, 0)).toBe(1);
    });

    it("loans count from their arrival", () => {
        const rules = { ...ALLOCATOR_RULES, outlastsLoans: true };
        expect(measureLateGrant(rules, 1_000)).toBe(0);
        expect(measureLateGrant({ ...rules, countsLoansFromArrival: true }, 1_000)).toBe(1);
    });

    it("grants that were overtaken are taken", () => {
        expect(countProceeding(HOLDER_RULES, [2, 1], 10)).toBe(5);
        expect(countProceeding({ ...HOLDER_RULES, takesOvertakenGrants: true }, [2, 1], 10)).toBe(8);
    });

    it("the terms of grants count from their arrival", () => {
        expect(countProceeding(HOLDER_RULES, [1], 2_000)).toBe(0);
        expect(countProceeding({ ...HOLDER_RULES, countsFromArrival: true }, [1], 2_000)).toBe(8);
    });
});
