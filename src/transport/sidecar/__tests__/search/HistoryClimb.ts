/**
 * Searches histories from those on which a version came latest: each play changes one of the best so far. It finds what
 * independent draws miss when several troubles have to meet within some hundred milliseconds.
 */
import fc from "fast-check";
import { createSeededRandom } from "../../../../state/shared/index.js";
import type { Random } from "../../../../state/shared/index.js";
import { createFaultArbitrary, createHistoryArbitrary } from "./History.js";
import type { Fault, History } from "./History.js";
import type { SearchOptions, SearchResult } from "./HistorySearch.js";
import { createVariant, runHistory } from "./SimulatedMesh.js";

const POOL_SIZE = 16;
/** Share of plays that begin from a new history. */
const FRESH_SHARE = 0.25;
const MAXIMUM_FAULTS = 6;
const TIME_STEP_MS = 1_000;

export async function findViolationByClimbing(options: SearchOptions): Promise<SearchResult> {
    const { adapt = history => history, runs, seed, size, vary = variant => variant } = options;
    const random = createSeededRandom(seed);
    const fresh = fc.sample(createHistoryArbitrary(size), { numRuns: runs, seed, unbiased: true });
    const freshFaults = fc.sample(createFaultArbitrary(), { numRuns: runs, seed, unbiased: true });
    const pool: { share: number; history: History; }[] = [];
    const shares: number[] = [];
    let handled = 0;
    let refused = 0;
    for (let run = 0; run < runs; run++) {
        const parent = pool[Math.floor(random() * pool.length)];
        const drawn = fresh[run] as History;
        const history = adapt(
            parent === undefined || random() < FRESH_SHARE
                ? drawn
                : combineChanges(parent.history, drawn, freshFaults[run] as Fault, random),
        );
        const result = await runHistory(history, vary(createVariant(history.deadlineMs)));
        handled += result.handled;
        refused += result.refused;
        if (result.violations.length > 0) {
            const found = { history, violations: result.violations };
            return { found, handled, latest: pool, refused, runs: run + 1, shares };
        }
        shares.push(result.longestShare);
        pool.push({ history, share: result.longestShare });
        pool.sort((left, right) => right.share - left.share);
        pool.length = Math.min(pool.length, POOL_SIZE);
    }
    return { found: undefined, handled, latest: pool, refused, runs, shares };
}

/** Changes one or two things of a history. */
function combineChanges(history: History, drawn: History, fault: Fault, random: Random): History {
    const shift = (ms: number, least: number): number =>
        Math.max(least, Math.round(ms + (random() - 0.5) * 2 * TIME_STEP_MS * random()));
    const select = <T>(items: readonly T[]): number => Math.floor(random() * items.length);
    const { faults, versionGapsMs } = history;
    const index = select(faults);
    const changes: (() => Partial<History>)[] = [
        () => ({ faults: [...faults, fault].slice(-MAXIMUM_FAULTS) }),
        () => ({ faults: faults.toSpliced(index, 1) }),
        () => ({
            faults: faults.map((other, place) => place === index ? { ...other, atMs: shift(other.atMs, 0) } : other),
        }),
        () => ({
            faults: faults.map((other, place) => place === index ? { ...other, forMs: shift(other.forMs, 50) } : other),
        }),
        () => ({
            faults: faults.map((other, place) =>
                place === index ? { ...other, count: fault.count, first: fault.first, target: fault.target } : other
            ),
        }),
        () => ({
            faults: faults.map((other, place) => place === index ? { ...other, strength: fault.strength } : other),
        }),
        () => ({ versionGapsMs: versionGapsMs.map(gap => shift(gap, 30)) }),
        () => ({ versionGapsMs: drawn.versionGapsMs }),
        () => ({ seed: drawn.seed }),
        () => ({ weakness: drawn.weakness, weakShare: drawn.weakShare }),
        () => ({ firstChangeMs: drawn.firstChangeMs }),
        () => ({
            daemonsPerDomain: drawn.daemonsPerDomain,
            domainsPerRegion: drawn.domainsPerRegion,
            regions: drawn.regions,
        }),
    ];
    const changed = { ...history, ...changes[select(changes)]?.() };
    return random() < 0.5 ? changed : combineChanges(changed, drawn, fault, random);
}
