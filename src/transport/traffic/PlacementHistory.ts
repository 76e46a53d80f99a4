/** What was decided about one request, for its line in the log. */
import type { PlacementRecord } from "../../coordination/recording/index.js";
import type { Owner } from "./ServerDirectory.js";

export class PlacementHistory {
    readonly #placements: { -readonly [K in keyof PlacementRecord]: PlacementRecord[K]; }[] = [];

    /** Records that the request goes to an owner, and from which knowledge of its load. */
    recordPlacement(owner: Owner, cause: string, latencyMs: number, now: number): void {
        const { load, loadReceivedAt: loadAt } = owner.statistics;
        this.#placements.push({
            cause,
            end: undefined,
            expectedMs: Math.round(latencyMs),
            loadAgeMs: load === undefined ? undefined : Math.round(now - loadAt),
            queued: load?.queued,
            running: load?.running,
            server: owner.id,
        });
    }

    /** Records how the last placement at an owner ended. */
    recordEnd(ownerId: string, end: string): void {
        const placement = this.#placements.find(({ end: known, server }) => server === ownerId && known === undefined);
        if (placement !== undefined) {
            placement.end = end;
        }
    }

    /** The placements, unless the first one was simply answered. */
    read(isAnswered: boolean): readonly PlacementRecord[] | undefined {
        return isAnswered && this.#placements.length <= 1 ? undefined : this.#placements;
    }
}
