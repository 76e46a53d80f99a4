/** Guards the test of the rule against blindness: each of these broken variants has to be found by it. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ALLOCATOR_RULES, CLIENT_RULES, GRANT_LEDGER_RULES, HOLDER_RULES, LENDER_RULES } from "../../index.js";
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
