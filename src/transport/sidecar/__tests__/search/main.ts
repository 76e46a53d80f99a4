/**
 * Searches histories by hand: `npm run search -- --seed 1 --runs 1000`, or plays one with its log:
 * `npm run search -- --history FILE`. The size is that of the largest meshes: regions, failure domains of a region, daemons of a domain.
 */
import { defineCommand, runMain } from "citty";
import { readFileSync } from "node:fs";
import { invariant } from "../../../../state/shared/index.js";
import { FaultKind } from "./History.js";
import type { Fault, History, HistorySize } from "./History.js";
import { findViolationByClimbing } from "./HistoryClimb.js";
import { findViolation } from "./HistorySearch.js";
import { Rule } from "./RuleJudge.js";
import { FOUND_EXIT_CODE } from "./SearchExitCode.js";
import { runHistory } from "./SimulatedMesh.js";

function printLine(line: string): void {
    process.stdout.write(`${line}\n`);
}

function parseSize(text: string): HistorySize {
    const [regions = 1, domainsPerRegion = 1, daemonsPerDomain = 1] = text.split("x").map(Number);
    return { daemonsPerDomain, domainsPerRegion, regions };
}

function parseRule(text: string): Rule {
    const rule = Object.values(Rule).find(other => other === text);
    invariant(rule !== undefined, `rule "${text}" is one of ${Object.values(Rule).join(", ")}`);
    return rule;
}

/** Makes VMs that stand still suspended ones, whose steady clocks stand still too. */
function replaceFreeze(fault: Fault): Fault {
    return fault.kind === FaultKind.Freeze ? { ...fault, kind: FaultKind.Suspend } : fault;
}

/** Tells how much happened: a history in which no replaced version decided can't show a fault. */
function describeShares(shares: readonly number[]): string {
    const sorted = shares.toSorted((left, right) => left - right);
    const [median, high, longest] = [0.5, 0.9, 1].map(share =>
        (sorted[Math.ceil(share * sorted.length) - 1] ?? 0).toFixed(2)
    );
    const empty = shares.filter(share => share <= 0).length;
    return `replaced versions decided for up to ${median} (median), ${high} (90%) and ${longest} (longest) of the `
        + `deadline; ${empty} of ${shares.length} histories are empty`;
}

void runMain(defineCommand({
    args: {
        climb: { default: false, description: "begin from the histories with the latest versions", type: "boolean" },
        exact: { default: false, description: "all meshes have the given size", type: "boolean" },
        faults: { description: "file with a list of faults that each history has besides", type: "string" },
        history: { description: "file with a history to be played with its log", type: "string" },
        ignore: { description: "rules that are not judged, in drawn histories, separated by commas", type: "string" },
        runs: { default: "200", description: "number of histories", type: "string" },
        seed: { default: "1", description: "seed of the search", type: "string" },
        shorten: { default: "60", description: "seconds for shortening a found history", type: "string" },
        size: {
            description: "regions x domains x daemons of the largest meshes; without it, meshes like the users'",
            type: "string",
        },
        spacing: { description: "factor of the times between requests", type: "string" },
        suspend: { default: false, description: "VMs that stand still are suspended", type: "boolean" },
    },
    meta: { description: "Searches histories on which a rule is broken.", name: "search" },
    run: async ({ args }) => {
        if (args.history !== undefined) {
            const history = JSON.parse(readFileSync(args.history, "utf8")) as History;
            const { violations } = await runHistory(history, undefined, printLine);
            process.exitCode = violations.length > 0 ? FOUND_EXIT_CODE : 0;
            return;
        }
        const size = args.size === undefined ? undefined : parseSize(args.size);
        const addedFaults = args.faults === undefined
            ? []
            : JSON.parse(readFileSync(args.faults, "utf8")) as readonly Fault[];
        const startedAt = performance.now();
        const { found, handled, latest, refused, runs, shares } =
            await (args.climb ? findViolationByClimbing : findViolation)({
                runs: Number(args.runs),
                seed: Number(args.seed),
                shorteningMs: Number(args.shorten) * 1_000,
                adapt: history => ({
                    ...history,
                    ...args.exact ? size : {},
                    ...args.spacing === undefined ? {} : { requestSpacing: Number(args.spacing) },
                    faults: [...args.suspend ? history.faults.map(replaceFreeze) : history.faults, ...addedFaults],
                }),
                size,
                ...args.ignore === undefined ? {} : { ignoredRules: args.ignore.split(",").map(parseRule) },
            });
        const seconds = Math.round((performance.now() - startedAt) / 1_000);
        printLine(
            `seed ${args.seed}, size ${args.size ?? "like the users'"}: ${runs} histories, ${handled} requests, `
                + `${refused} refused, ${seconds} s`,
        );
        printLine(describeShares(shares));
        latest.slice(0, 3).forEach(({ history, share }) => printLine(`${share.toFixed(2)} ${JSON.stringify(history)}`));
        if (found !== undefined) {
            printLine(JSON.stringify(found.history));
            found.violations.slice(0, 5).forEach(violation => printLine(JSON.stringify(violation)));
            process.exitCode = FOUND_EXIT_CODE;
        }
    },
}));
