import type { ModelOptions, ModelResult } from "../fixtures/ClaimModel.js";

import { expect, test } from "vitest";
import { runClaimModel } from "../fixtures/ClaimModel.js";

/** CLAIM_MODEL_SEEDS=2000 searches more seeds (about a minute); raise vitest's --testTimeout accordingly. */
const SEEDS = Number(process.env["CLAIM_MODEL_SEEDS"] ?? 100);

async function runSeeds(options: Omit<ModelOptions, "seed">): Promise<readonly string[]> {
    const violations: string[] = [];
    for (let seed = 1; seed <= SEEDS; seed += 1) {
        const result = await runClaimModel({ ...options, seed });
        violations.push(...listViolations(result).map(violation => `seed ${seed}: ${violation}`));
    }
    return violations;
}

function listViolations(result: ModelResult): readonly string[] {
    const repeated = [...result.executions].filter(([, count]) => count > 1).map(([key]) => `${key} ran twice`);
    return [...repeated, ...result.falseOutcomes, ...result.blocked];
}

// Guards against double execution, false outcomes and keys that stay blocked when store calls are
// lost, late or refused and daemons pause or crash, in random order.
test("each key is executed at most once with direct commits", async () => {
    expect(await runSeeds({ useHolder: false })).toEqual([]);
});

// Guards against the same failures when holders are slow, unreachable, or commit long after the owner gave up.
test("each key is executed at most once when holders commit", async () => {
    expect(await runSeeds({ useHolder: true })).toEqual([]);
});

// Guards against entries that are lost while tails are moved to sealed objects.
test("each key is executed at most once when tails are sealed", async () => {
    expect(await runSeeds({ useHolder: true, answerBytes: 60_000 })).toEqual([]);
});

// Guards against a model check that cannot fail: a store without conditional updates must be detected.
test("the model check detects a double execution when the store ignores the conditions of writes", async () => {
    const runs: ModelResult[] = [];
    for (let seed = 1; seed <= 20; seed += 1) {
        runs.push(await runClaimModel({ seed, useHolder: false, ignoreConditions: true }));
    }
    expect(runs.flatMap(listViolations).some(violation => violation.endsWith("ran twice"))).toBe(true);
});
