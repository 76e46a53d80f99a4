import type { ModelOptions, ModelResult } from "../fixtures/ClaimModel.js";

import { expect, test } from "vitest";
import { runClaimModel } from "../fixtures/ClaimModel.js";

/** CLAIM_MODEL_SEEDS=2000 runs a longer search (about a minute); raise vitest's --testTimeout with it. */
const SEEDS = Number(process.env["CLAIM_MODEL_SEEDS"] ?? 100);

async function runSeeds(options: Omit<ModelOptions, "seed">): Promise<readonly string[]> {
    const faults: string[] = [];
    for (let seed = 1; seed <= SEEDS; seed += 1) {
        const result = await runClaimModel({ ...options, seed });
        faults.push(...listFaults(result).map(fault => `seed ${seed}: ${fault}`));
    }
    return faults;
}

function listFaults(result: ModelResult): readonly string[] {
    const repeated = [...result.executions].filter(([, count]) => count > 1).map(([key]) => `${key} ran twice`);
    return [...repeated, ...result.falseOutcomes, ...result.blocked];
}

// Guards against double execution, untrue outcomes and keys that stay blocked, for lost, late and
// refused store calls, pauses and crashes in random order.
test("at most one execution for each key, with direct commits", async () => {
    expect(await runSeeds({ useHolder: false })).toEqual([]);
});

// Guards against the same with holders that are slow, unreachable, or commit long after the owner gave up.
test("at most one execution for each key, with holders", async () => {
    expect(await runSeeds({ useHolder: true })).toEqual([]);
});

// Guards against entries that are lost or forgotten while tails are moved to sealed objects.
test("at most one execution for each key, with sealing", async () => {
    expect(await runSeeds({ useHolder: true, answerBytes: 60_000 })).toEqual([]);
});

// Guards against a check that cannot fail: a store without conditional updates must be detected.
test("the check detects a store that ignores the conditions of writes", async () => {
    const runs: ModelResult[] = [];
    for (let seed = 1; seed <= 20; seed += 1) {
        runs.push(await runClaimModel({ seed, useHolder: false, ignoreConditions: true }));
    }
    expect(runs.flatMap(listFaults).some(fault => fault.endsWith("ran twice"))).toBe(true);
});
