/** Placements of one request, for its line in the access log. */
import type { PlacementRecord } from "../../coordination/recording/index.js";
import type { Owner } from "./ServerDirectory.js";

export class PlacementHistory {
    readonly #placements: { -readonly [K in keyof PlacementRecord]: PlacementRecord[K]; }[] = [];

    /** Records that the request was placed at an owner, with the load known at that time. */
    recordPlacement(owner: Owner, cause: string, latencyMs: number, now: number): void {
        const { load, loadReceivedAt } = owner.statistics;
        this.#placements.push({
            cause,
            end: undefined,
            expectedMs: Math.round(latencyMs),
            loadAgeMs: load === undefined ? undefined : Math.round(now - loadReceivedAt),
            queued: load?.queued,
            running: load?.running,
            server: owner.id,
        });
    }

    /** Records how the open placement at an owner ended. */
    recordEnd(ownerId: string, end: string): void {
        const placement = this.#placements.find(({ end: recordedEnd, server }) =>
            server === ownerId && recordedEnd === undefined
        );
        if (placement !== undefined) {
            placement.end = end;
        }
    }

    /** Returns the placements; undefined when the first one was answered. */
    read(isAnswered: boolean): readonly PlacementRecord[] | undefined {
        return isAnswered && this.#placements.length <= 1 ? undefined : this.#placements;
    }
}
