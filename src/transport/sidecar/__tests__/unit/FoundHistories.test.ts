import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { FOUND_HISTORIES } from "../search/FoundHistories.js";
import { MUTANTS } from "../search/Mutants.js";
import { buildSearch, OUTPUT_FOLDER, runSearch } from "../search/SearchBuild.js";
import { runHistory } from "../search/SimulatedMesh.js";

const TEST_TIMEOUT_MS = 60_000;
const CASES = FOUND_HISTORIES.map((found, index) => ({ ...found, index }));

/** Guards against decisions that broke a rule before, on histories that few draws contain. */
describe("a history that breaks a rule in a mutant", () => {
    it.each(CASES)("breaks none in the product: $mutants ($index)", async ({ history }) => {
        const { violations } = await runHistory(history);
        expect(violations).toEqual([]);
    }, TEST_TIMEOUT_MS);

    it.each(CASES)("still does when $mutants ($index)", async ({ history, index, mutants }) => {
        await mkdir(OUTPUT_FOLDER, { recursive: true });
        const path = join(OUTPUT_FOLDER, `found-${process.pid}-${index}`);
        await writeFile(`${path}.json`, JSON.stringify(history));
        await buildSearch(MUTANTS.filter(({ name }) => mutants.includes(name)), `${path}.mjs`);
        const { isFound, output } = await runSearch(`${path}.mjs`, ["--history", `${path}.json`]);
        expect(isFound).toBe(true);
        expect(output).toMatch(/BROKEN (?:late|not in force)/);
    }, TEST_TIMEOUT_MS);
});
