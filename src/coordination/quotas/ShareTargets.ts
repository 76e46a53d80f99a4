/** Divides a tenant's limit among the daemons that report demand for it, in whole requests. */

/** Demand of one daemon within a window. */
export interface HolderDemand {
    readonly wanted: number;
    /** Requests that proceeded within the last window. */
    readonly used: number;
    /** Whether requests were refused lately. */
    readonly isRefused: boolean;
}

/** Standard deviations of a random number of requests that a quota covers beyond its mean. */
const COVERED_DEVIATIONS = 2.5;
/** Part of what nobody wants that is granted ahead; the rest stays for daemons where requests arrive next. */
const GRANTED_SHARE_OF_SPARE = 0.5;

/**
 * Divides `amount` by max-min fairness: each gets its want, or the same level if the wants exceed the amount.
 * Returns the level.
 */
export function computeFairLevel(wants: readonly number[], amount: number): number {
    const sorted = [...wants].sort((left, right) => left - right);
    let left = amount;
    for (const [index, want] of sorted.entries()) {
        const level = left / (sorted.length - index);
        if (want >= level) {
            return level;
        }
        left -= want;
    }
    return Infinity;
}

/**
 * Computes which part of `amount` each daemon should have: first the requests that it expects, by max-min fairness, then
 * room for the deviations of their number, so that many daemons with little demand don't starve those with much.
 */
export function computeTargets(
    demands: ReadonlyMap<string, HolderDemand>,
    amount: number,
): ReadonlyMap<string, number> {
    const wants = [...demands.values()].map(({ wanted }) => Math.max(1, wanted));
    const level = Math.floor(computeFairLevel(wants, amount));
    const targets = new Map<string, number>();
    const rooms = new Map<string, number>();
    let left = Math.floor(amount);
    let wholeRoom = 0;
    [...demands.keys()].forEach((id, index) => {
        const want = wants[index] ?? 0;
        const target = Math.min(level, want);
        const room = Math.max(0, want - target) + 1 + COVERED_DEVIATIONS * Math.sqrt(want);
        targets.set(id, target);
        rooms.set(id, room);
        left -= target;
        wholeRoom += room;
    });
    const spare = Math.max(0, left - wholeRoom);
    const factor = level < Infinity ? 0 : Math.min(1, left / wholeRoom) + GRANTED_SHARE_OF_SPARE * spare / wholeRoom;
    targets.forEach((target, id) => {
        const added = Math.floor((rooms.get(id) ?? 0) * factor);
        targets.set(id, target + added);
        left -= added;
    });
    if (spare === 0) {
        addRemainder(targets, demands, left);
    }
    return targets;
}

/** Gives one request more to as many daemons as possible: first to those that have used up theirs. */
function addRemainder(
    targets: Map<string, number>,
    demands: ReadonlyMap<string, HolderDemand>,
    remainder: number,
): void {
    const ranked = [...demands]
        .map(([id, { isRefused, used, wanted }]) => {
            const target = targets.get(id) ?? 0;
            return { id, rank: (isRefused ? 2 : 0) + (used >= target ? 1 : 0), unmet: wanted - target };
        })
        .sort((left, right) => right.rank - left.rank || right.unmet - left.unmet);
    for (const { id } of ranked.slice(0, remainder)) {
        targets.set(id, (targets.get(id) ?? 0) + 1);
    }
}
