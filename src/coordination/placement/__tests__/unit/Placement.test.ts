import { describe, expect, it } from "vitest";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { computeRetryAfter, Distance, OwnerStatistics, RouteStatistics, selectPlacement } from "../../index.js";
import type { OwnerLoad, PlacementQuery } from "../../index.js";

const random = createSeededRandom(3);

function createLoad(fields: Partial<OwnerLoad> = {}): OwnerLoad {
    return {
        coldLeftMs: 0,
        isOpen: true,
        queued: 0,
        running: 0,
        slots: 12,
        waits: { inTimeMs: 0, lateMs: 0, nestedMs: 0 },
        workMs: 200,
        ...fields,
    };
}

function createCandidate(id: string, distance: Distance, load: Partial<OwnerLoad> = {}) {
    const statistics = new OwnerStatistics(distance);
    for (let count = 0; count < 10; count++) {
        statistics.recordSuccess("r", 200, 0);
    }
    statistics.recordLoad(createLoad(load), 0);
    return { id, statistics };
}

function createQuery(fields: Partial<PlacementQuery> = {}): PlacementQuery {
    return { budgetLeftMs: 1_200, bytes: 2_000, isNested: false, route: "r", targetLeftMs: 600, ...fields };
}

const busy = (waitMs: number) => ({
    queued: 6,
    running: 12,
    waits: { inTimeMs: waitMs, lateMs: waitMs * 5, nestedMs: 20 },
});

describe("placement of a request", () => {
    it("stays in its failure domain while the target latency can be met there", () => {
        const near = createCandidate("near", Distance.SameDomain, busy(100));
        const far = createCandidate("far", Distance.OtherRegion);
        expect(selectPlacement([far, near], createQuery(), 0, random)?.candidate.id).toBe("near");
    });

    it("leaves its failure domain when the target latency would be missed there", () => {
        const near = createCandidate("near", Distance.SameDomain, busy(500));
        const far = createCandidate("far", Distance.OtherRegion);
        expect(selectPlacement([near, far], createQuery(), 0, random)?.candidate.id).toBe("far");
    });

    it("leaves a daemon without processor time for as long as its report counts, and returns to it when no other can serve", () => {
        const near = createCandidate("near", Distance.SameDomain, { processorDelayMs: 450 });
        const far = createCandidate("far", Distance.OtherRegion);
        const select = (candidates: readonly typeof near[], now: number) =>
            selectPlacement(candidates, createQuery(), now, random)?.candidate.id;
        expect([select([far, near], 0), select([far, near], 2_000), select([near], 0)]).toEqual(["far", "far", "near"]);
        expect(select([far, near], 2_001)).toBe("near");
    });

    it("selects another region for a large answer only when no server of its own is likely to answer in time", () => {
        const query = createQuery({ bytes: 90_000 });
        const far = createCandidate("far", Distance.OtherRegion);
        const late = createCandidate("late", Distance.SameRegion, busy(150));
        expect(selectPlacement([far, late], query, 0, random)?.candidate.id).toBe("late");
        const full = createCandidate("full", Distance.SameRegion, busy(2_000));
        expect(selectPlacement([far, full], query, 0, random)?.candidate.id).toBe("far");
    });

    it("selects no server for a large answer that would come late over a saturated link to another region", () => {
        const far = createCandidate("far", Distance.OtherRegion);
        far.statistics.recordRoundTrip(500);
        expect(selectPlacement([far], createQuery({ bytes: 90_000 }), 0, random)).toBeUndefined();
        expect(selectPlacement([far], createQuery({ bytes: 2_000 }), 0, random)?.candidate.id).toBe("far");
    });

    it("selects no server when none can answer before the deadline, whatever the size", () => {
        const full = createCandidate("full", Distance.SameRegion, busy(2_000));
        expect(selectPlacement([full], createQuery({ bytes: 0 }), 0, random)).toBeUndefined();
        const far = createCandidate("far", Distance.OtherRegion);
        expect(selectPlacement([far], createQuery({ budgetLeftMs: 100 }), 0, random)).toBeUndefined();
    });

    it("uses the short expected wait of a nested call instead of the wait behind all other requests", () => {
        const near = createCandidate("near", Distance.SameDomain, busy(2_000));
        const query = createQuery({ budgetLeftMs: 600, isNested: true, targetLeftMs: 400 });
        expect(selectPlacement([near], query, 0, random)?.candidate.id).toBe("near");
        expect(selectPlacement([near], { ...query, isNested: false }, 0, random)).toBeUndefined();
    });

    it("avoids a server whose requests were abandoned after a long time", () => {
        const slow = createCandidate("slow", Distance.SameDomain);
        for (let count = 0; count < 10; count++) {
            slow.statistics.recordUnfinished("r", 1_200);
        }
        const other = createCandidate("other", Distance.SameRegion);
        expect(selectPlacement([slow, other], createQuery(), 0, random)?.candidate.id).toBe("other");
    });

    it("avoids a server that fails some of its requests", () => {
        const failing = createCandidate("failing", Distance.SameDomain);
        for (let count = 0; count < 20; count++) {
            failing.statistics.recordFailure(false, 0);
        }
        const other = createCandidate("other", Distance.SameRegion);
        expect(selectPlacement([failing, other], createQuery(), 0, random)?.candidate.id).toBe("other");
    });
});

describe("load reports", () => {
    // Guards against servers that stay unused until their next report although their queue has drained.
    it("count for less with age, so that a server whose queue has drained gets requests again", () => {
        const near = createCandidate("near", Distance.SameDomain, busy(450));
        expect(selectPlacement([near], createQuery({ budgetLeftMs: 700 }), 0, random)).toBeUndefined();
        expect(selectPlacement([near], createQuery({ budgetLeftMs: 700 }), 200, random)?.candidate.id).toBe("near");
    });

    // Guards against a herd: all requests between two reports go to the server that was last reported free.
    it("don't attract all requests to the server that was last reported free", () => {
        const candidates = ["a", "b", "c"].map(id => createCandidate(id, Distance.SameDomain));
        const counts = new Map<string, number>();
        for (let count = 0; count < 60; count++) {
            const chosen = selectPlacement(candidates, createQuery(), 0, random)?.candidate;
            chosen?.statistics.recordStart(0);
            counts.set(chosen?.id ?? "", (counts.get(chosen?.id ?? "") ?? 0) + 1);
        }
        for (const id of ["a", "b", "c"]) {
            expect(counts.get(id)).toBeGreaterThan(12);
        }
    });
});

describe("the retry time of a refused request", () => {
    it("is jittered around the time at which a slot is expected and limited to a third of the caller's time", () => {
        const times = Array.from({ length: 200 }, () => computeRetryAfter(400, 2_400, random));
        expect(Math.min(...times)).toBeLessThan(220);
        expect(Math.max(...times)).toBeGreaterThan(580);
        expect(Math.max(...Array.from({ length: 50 }, () => computeRetryAfter(5_000, 900, random)))).toBe(300);
    });
});

describe("statistics of a route", () => {
    it("return the time that a retrying caller has already spent", () => {
        const statistics = new RouteStatistics();
        expect(statistics.recordTimeBudget(2_500, 0)).toBe(0);
        expect(statistics.recordTimeBudget(1_900, 10)).toBe(600);
        expect(statistics.recordTimeBudget(2_500, 20)).toBe(0);
    });
});
