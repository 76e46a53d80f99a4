/**
 * Searches histories by hand: `npm run search -- --seed 1 --runs 1000 --size 2x2x4`, or plays one with its log:
 * `npm run search -- --history FILE`. The size is that of the largest meshes: regions, failure domains of a region, daemons of a domain.
 */
import { defineCommand, runMain } from "citty";
import { readFileSync } from "node:fs";
import type { History } from "./History.js";
import { findViolationByClimbing } from "./HistoryClimb.js";
import { findViolation } from "./HistorySearch.js";
import { runHistory } from "./SimulatedMesh.js";

const FOUND_EXIT_CODE = 1;

function printLine(line: string): void {
    process.stdout.write(`${line}\n`);
}

void runMain(defineCommand({
    args: {
        climb: { default: false, description: "begin from the histories with the latest versions", type: "boolean" },
        exact: { default: false, description: "all meshes have the given size", type: "boolean" },
        history: { description: "file with a history to be played with its log", type: "string" },
        runs: { default: "200", description: "number of histories", type: "string" },
        seed: { default: "1", description: "seed of the search", type: "string" },
        size: { default: "2x2x4", description: "regions x domains x daemons of the largest meshes", type: "string" },
    },
    meta: { description: "Searches histories on which the rule of versions is broken.", name: "search" },
    run: async ({ args }) => {
        if (args.history !== undefined) {
            const history = JSON.parse(readFileSync(args.history, "utf8")) as History;
            const { violations } = await runHistory(history, undefined, printLine);
            process.exitCode = violations.length > 0 ? FOUND_EXIT_CODE : 0;
            return;
        }
        const [regions = 1, domainsPerRegion = 1, daemonsPerDomain = 1] = args.size.split("x").map(Number);
        const size = { daemonsPerDomain, domainsPerRegion, regions };
        const startedAt = performance.now();
        const { found, handled, latest, refused, runs } = await (args.climb ? findViolationByClimbing : findViolation)({
            runs: Number(args.runs),
            seed: Number(args.seed),
            ...args.exact ? { adapt: history => ({ ...history, ...size }) } : {},
            size,
        });
        const seconds = Math.round((performance.now() - startedAt) / 1_000);
        printLine(
            `seed ${args.seed}, size ${args.size}: ${runs} histories, ${handled} requests, ${refused} refused, ${seconds} s`,
        );
        latest.slice(0, 3).forEach(({ history, share }) => printLine(`${share.toFixed(2)} ${JSON.stringify(history)}`));
        if (found !== undefined) {
            printLine(JSON.stringify(found.history));
            found.violations.slice(0, 3).forEach(violation => printLine(JSON.stringify(violation)));
            process.exitCode = FOUND_EXIT_CODE;
        }
    },
}));
