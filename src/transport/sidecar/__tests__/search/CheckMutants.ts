/**
 * Searches mutants of the product and prints after how many histories each is found:
 * `npm run search:mutants -- --seed 1 --runs 100 --jobs 4`. The same search has to find nothing in the product itself.
 */
import { defineCommand, runMain } from "citty";
import { join } from "node:path";
import { LEASE_MUTANTS, SPOILT_BACKGROUND } from "./LeaseMutants.js";
import { MEMBER_MUTANTS } from "./MemberMutants.js";
import { MUTANTS } from "./Mutants.js";
import type { Mutant } from "./Mutants.js";
import { buildSearch, OUTPUT_FOLDER, runSearch } from "./SearchBuild.js";
import type { SearchRun } from "./SearchBuild.js";

const MISSED_EXIT_CODE = 1;

function formatRow(name: string, { isFound, output }: SearchRun): string {
    const histories = /: (\d+) histories/.exec(output)?.[1] ?? "?";
    const rule = /"rule":"([^"]+)"/.exec(output)?.[1] ?? "";
    const history = /^\{"deadlineMs".*$/m.exec(output)?.[0] ?? "";
    return isFound ? `| ${name} | ${histories} | ${rule} | ${history}` : `| ${name} | not in ${histories} | |`;
}

/** Searches all mutants; returns the number of those that were not found. */
async function runAll(
    options: readonly string[],
    jobs: number,
    only: string | undefined,
    beside: readonly Mutant[],
): Promise<number> {
    const mutants = [...MUTANTS, ...LEASE_MUTANTS, ...MEMBER_MUTANTS].filter(({ name }) =>
        only === undefined || new RegExp(only).test(name)
    );
    const waiting = [...mutants.entries()];
    let found = 0;
    const work = async (): Promise<void> => {
        for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
            const [index, mutant] = next;
            const bundle = join(OUTPUT_FOLDER, `mutant-${index}.mjs`);
            await buildSearch([mutant, ...beside.filter(other => other !== mutant)], bundle);
            try {
                const run = await runSearch(bundle, options);
                found += run.isFound ? 1 : 0;
                process.stdout.write(`${formatRow(mutant.name, run)}\n`);
            }
            catch (error) {
                process.stdout.write(`| ${mutant.name} | failed: ${(error as Error).message} | |\n`);
            }
        }
    };
    await Promise.all(Array.from({ length: jobs }, work));
    process.stdout.write(`found ${found} of ${mutants.length}\n`);
    return mutants.length - found;
}

void runMain(defineCommand({
    args: {
        beside: { description: "name of a mutant that is in each build besides", type: "string" },
        climb: {
            default: false,
            description: "begin from the histories with the latest versions",
            type: "boolean",
        },
        ignore: { description: "rules that are not judged, in drawn histories, separated by commas", type: "string" },
        jobs: { default: "4", description: "searches at a time", type: "string" },
        only: { description: "pattern of the names of the mutants that are searched", type: "string" },
        runs: { default: "100", description: "histories for each mutant", type: "string" },
        seed: { default: "1", description: "seed of the searches", type: "string" },
        spacing: { description: "factor of the times between requests", type: "string" },
        spoilt: { default: false, description: "the background is spoilt in each build besides", type: "boolean" },
    },
    meta: {
        description: "Counts the histories until the search finds mutants of the product.",
        name: "search:mutants",
    },
    run: async ({ args }) => {
        const options = [
            "--seed",
            args.seed,
            "--runs",
            args.runs,
            "--shorten",
            "0",
            ...args.climb ? ["--climb"] : [],
            ...args.ignore === undefined ? [] : ["--ignore", args.ignore],
            ...args.spacing === undefined ? [] : ["--spacing", args.spacing],
        ];
        const beside = MUTANTS.filter(({ name }) =>
            name === args.beside || args.spoilt && SPOILT_BACKGROUND.includes(name)
        );
        const missed = await runAll(options, Number(args.jobs), args.only, beside);
        process.exitCode = missed > 0 ? MISSED_EXIT_CODE : 0;
    },
}));
