/**
 * Chooses the allocator among the daemons that can be reached: the one that runs for longest. A daemon that starts never
 * takes the place of a working allocator then, which would leave the shares of all daemons at rest for a window.
 */
import { computeRendezvousHash } from "../../state/shared/index.js";

const RANKING_KEY = "quota-allocator";
/** Time for which a daemon of better rank has to be reachable before it replaces the present allocator. */
const REPLACEMENT_DELAY_MS = 2_000;

export interface AllocatorCandidate {
    readonly id: string;
    /** Start of its process, by the time of day of its VM. */
    readonly startedAt: number;
}

export class AllocatorChoice {
    #current: string | undefined;
    #better: { readonly id: string; readonly since: number; } | undefined;

    get current(): string | undefined {
        return this.#current;
    }

    /** Orders daemons by their rank as allocators. */
    rank(candidates: readonly AllocatorCandidate[]): readonly string[] {
        return [...candidates].sort(compareRanks).map(({ id }) => id);
    }

    /** Returns the allocator; undefined while no candidate can be reached. An unreachable one is replaced at once. */
    update(candidates: Iterable<AllocatorCandidate>, now: number): string | undefined {
        let best: AllocatorCandidate | undefined;
        let isCurrentReachable = false;
        for (const candidate of candidates) {
            isCurrentReachable ||= candidate.id === this.#current;
            if (best === undefined || compareRanks(candidate, best) < 0) {
                best = candidate;
            }
        }
        if (!isCurrentReachable || best === undefined || best.id === this.#current) {
            this.#current = best?.id;
            this.#better = undefined;
        }
        else if (this.#better?.id !== best.id) {
            this.#better = { id: best.id, since: now };
        }
        else if (now - this.#better.since >= REPLACEMENT_DELAY_MS) {
            this.#current = best.id;
            this.#better = undefined;
        }
        return this.#current;
    }
}

function compareRanks(left: AllocatorCandidate, right: AllocatorCandidate): number {
    return left.startedAt - right.startedAt
        || computeRendezvousHash(RANKING_KEY, left.id) - computeRendezvousHash(RANKING_KEY, right.id)
        || (left.id < right.id ? -1 : 1);
}
