import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { FOUND_HISTORIES } from "../search/FoundHistories.js";
import { LEASE_MUTANTS } from "../search/LeaseMutants.js";
import { MUTANTS, NO_LEASE, STEADY_AGES } from "../search/Mutants.js";
import { buildSearch, OUTPUT_FOLDER, runSearch } from "../search/SearchBuild.js";
import { runHistory } from "../search/SimulatedMesh.js";

const TEST_TIMEOUT_MS = 60_000;
const CASES = FOUND_HISTORIES.map((found, index) => ({ ...found, index, name: found.mutants[0] }));
/** What the lease of versions relies on, without which it doesn't protect callers. */
const LEASE_NAMES: readonly string[] = [NO_LEASE, STEADY_AGES, ...LEASE_MUTANTS.map(({ name }) => name)];
/** What keeps versions fresh is wrong, but the lease of versions is in force. */
const BACKGROUND_CASES = CASES.filter(({ mutants }) => mutants.some(name => LEASE_NAMES.includes(name))).map(
    found => ({
        ...found,
        mutants: found.mutants.filter(name => !LEASE_NAMES.includes(name)),
    }),
);

async function runMutants({ history, index, mutants }: Pick<typeof CASES[number], "history" | "index" | "mutants">) {
    await mkdir(OUTPUT_FOLDER, { recursive: true });
    const path = join(OUTPUT_FOLDER, `found-${process.pid}-${index}-${mutants.length}`);
    await writeFile(`${path}.json`, JSON.stringify(history));
    await buildSearch([...MUTANTS, ...LEASE_MUTANTS].filter(({ name }) => mutants.includes(name)), `${path}.mjs`);
    return await runSearch(`${path}.mjs`, ["--history", `${path}.json`]);
}

/** Guards against decisions that broke a rule before, on histories that few draws contain. */
describe("a history that breaks a rule in a mutant", () => {
    it.each(CASES)("breaks none in the product: $name ($index)", async ({ history }) => {
        const { violations } = await runHistory(history);
        expect(violations).toEqual([]);
    }, TEST_TIMEOUT_MS);

    it.each(CASES)("still does when $name ($index)", async found => {
        const { isFound, output } = await runMutants(found);
        expect(isFound).toBe(true);
        // The spoilt background alone leaves versions behind; what the lease lacks shows in decisions.
        const isOfLease = found.mutants.some(name => name !== NO_LEASE && LEASE_NAMES.includes(name));
        expect(output).toMatch(isOfLease ? /BROKEN (?:late|unconfirmed)/ : /BROKEN (?:late|not in force)/);
    }, TEST_TIMEOUT_MS);

    it.each(BACKGROUND_CASES)("harms no caller with the lease of versions when $name ($index)", async found => {
        const { output } = await runMutants(found);
        expect(output).not.toMatch(/BROKEN (?!not in force)/);
    }, TEST_TIMEOUT_MS);
});
