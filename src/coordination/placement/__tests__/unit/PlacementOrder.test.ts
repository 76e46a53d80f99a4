/**
 * Load: more demand than the servers can serve in time. Guards against an order by the expected wait that spreads an
 * overload evenly, so that most answers are late.
 */
import { expect, it } from "vitest";
import { Distance, OwnerStatistics, selectPlacement } from "../../index.js";

const NOW = 1_000;

/** A server that tells its work factor; `queued` requests wait for its four slots. */
function createCandidate(id: string, workMs: number, queued: number) {
    const statistics = new OwnerStatistics(Distance.SameDomain);
    statistics.recordSuccess("stock", workMs, NOW);
    statistics.recordLoad({
        coldLeftMs: 0,
        isOpen: true,
        queued,
        running: queued > 0 ? 4 : 0,
        slots: 4,
        waits: { inTimeMs: queued * workMs / 4, lateMs: queued * workMs / 4, nestedMs: 0 },
        workFactor: 1,
        workMs,
    }, NOW);
    return { id, statistics };
}

function select(targetLeftMs: number): string | undefined {
    const candidates = [createCandidate("idle and slow", 300, 0), createCandidate("busy and fast", 100, 2)];
    const query = { budgetLeftMs: 3_000, bytes: 0, isNested: false, route: "stock", targetLeftMs };
    return selectPlacement(candidates, query, NOW, () => 0.5)?.candidate.id;
}

it("the server with the shortest wait is selected while it is expected to answer in time", () => {
    expect(select(1_000)).toBe("idle and slow");
});

it("the server that may answer in time is selected when the one with the shortest wait would be late", () => {
    expect(select(250)).toBe("busy and fast");
});
