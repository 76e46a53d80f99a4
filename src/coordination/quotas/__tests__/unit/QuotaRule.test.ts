/**
 * Guards against more requests of a tenant than its limit allows in any window, whatever daemons believe of each other.
 * All histories by hand: QUOTA_HISTORIES=100000 npx vitest run src/coordination/quotas/__tests__/unit/QuotaRule.test.ts --testTimeout 0
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { findViolation, histories } from "../fixtures/QuotaHistory.js";
import { MESH_RULES } from "../fixtures/QuotaMesh.js";

const HISTORIES = Number(process.env["QUOTA_HISTORIES"] ?? 300);
const SEED = Number(process.env["QUOTA_SEED"] ?? 5_021);

describe("the rule of quotas", () => {
    it("holds in every history", () => {
        fc.assert(
            fc.property(histories, history => {
                expect(findViolation(history, MESH_RULES)).toBeUndefined();
            }),
            { numRuns: HISTORIES, seed: SEED },
        );
    });
});
