/** Searches seeded histories for one on which a rule is broken, and shortens the first that is found. */
import fc from "fast-check";
import { createHistoryArbitrary } from "./History.js";
import type { History, HistorySize } from "./History.js";
import type { Rule, Violation } from "./RuleJudge.js";
import type { Variant } from "./SimulatedDaemon.js";
import { createVariant, runHistory } from "./SimulatedMesh.js";

export interface SearchOptions {
    readonly seed: number;
    readonly runs: number;
    /** Largest meshes; undefined for meshes like the users'. */
    readonly size?: HistorySize | undefined;
    /** Changes the repairs that are in force. */
    readonly vary?: (variant: Variant) => Variant;
    /** Changes each history before it is played. */
    readonly adapt?: (history: History) => History;
    /** Rules that are not judged. */
    readonly ignoredRules?: readonly Rule[];
    /** Time after which a found history is no longer shortened, in milliseconds. */
    readonly shorteningMs?: number;
}

export interface SearchResult {
    readonly runs: number;
    readonly handled: number;
    readonly refused: number;
    /** For each history, the longest time, as a share of the deadline, for which a replaced version decided. */
    readonly shares: readonly number[];
    /** The histories with the latest versions, the latest first. */
    readonly latest: readonly { readonly share: number; readonly history: History; }[];
    readonly found: { readonly history: History; readonly violations: readonly Violation[]; } | undefined;
}

export async function findViolation(options: SearchOptions): Promise<SearchResult> {
    const {
        adapt = history => history,
        ignoredRules = [],
        runs,
        seed,
        shorteningMs = 60_000,
        size,
        vary = variant => variant,
    } = options;
    let handled = 0;
    let refused = 0;
    const shares: number[] = [];
    let found: SearchResult["found"];
    let foundAt = Infinity;
    const play = async (history: History): Promise<boolean> => {
        if (performance.now() - foundAt > shorteningMs) {
            return true;
        }
        const adapted = adapt(history);
        const result = await runHistory(adapted, vary(createVariant(adapted.deadlineMs)));
        const violations = result.violations.filter(({ rule }) => !ignoredRules.includes(rule));
        if (violations.length > 0) {
            found = { history: adapted, violations };
            foundAt = Math.min(foundAt, performance.now());
            return false;
        }
        if (found === undefined) {
            handled += result.handled;
            refused += result.refused;
            shares.push(result.longestShare);
        }
        return true;
    };
    const result = await fc.check(fc.asyncProperty(createHistoryArbitrary(size), play), {
        numRuns: runs,
        seed,
        unbiased: true,
    });
    return { found, handled, latest: [], refused, runs: result.numRuns, shares };
}
