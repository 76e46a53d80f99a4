/**
 * Load: one of six tenants sends 7.5 times its usual to a server that all of them use, at 1.7 times what it can do.
 * Guards against a tenant that takes the slots of the others, and against another order where there are no tenants.
 */
import { describe, expect, it } from "vitest";
import { SlotQueue, WorkTimeEstimator } from "../../index.js";
import type { SlotRequest } from "../../index.js";
import { generateLoad, replaySlotQueue } from "../fixtures/LoadReplay.js";

const SLOTS = 8;
const MEAN_WORK_MS = 95;
/** Usual requests a second of one tenant: six of them use 0.8 of the server. */
const USUAL_PER_SECOND = 0.8 * SLOTS * 1_000 / MEAN_WORK_MS / 6;
const TENANTS = ["a", "b", "c", "d", "e", "f"];

const load = generateLoad({
    kinds: TENANTS.map(tenant => ({
        benefit: 1,
        meanWorkMs: MEAN_WORK_MS,
        perSecond: () => tenant === "a" ? 7.5 * USUAL_PER_SECOND : USUAL_PER_SECOND,
        priority: 2,
        route: "r",
        targetMs: 400,
        sender: tenant,
        timeoutMs: 1_200,
    })),
    lengthMs: 20_000,
    seed: 3,
    slots: SLOTS,
});

function computeShares(requests: typeof load) {
    const inTime = replaySlotQueue(requests, SLOTS).inTimeBySender;
    const compute = (tenants: readonly string[]) =>
        tenants.reduce((sum, tenant) => sum + (inTime.get(tenant) ?? 0), 0)
        / load.filter(({ sender }) => tenants.includes(sender)).length;
    return { all: compute(TENANTS), others: TENANTS.slice(1).map(tenant => compute([tenant])), sender: compute(["a"]) };
}

describe("shares of tenants", () => {
    it("serve those that ask for no more than their part, whatever one tenant sends", () => {
        const before = computeShares(load);
        const after = computeShares(load.map(request => ({ ...request, tenant: request.sender })));
        const format = (shares: typeof after) =>
            `all ${shares.all.toFixed(3)}, sender of 7.5 times ${shares.sender.toFixed(3)}, `
            + `others ${Math.min(...shares.others).toFixed(3)} at least`;
        process.stdout.write(`tenants: in time before ${format(before)}; after ${format(after)}\n`);
        expect(Math.min(...after.others)).toBeGreaterThan(0.95);
        expect(Math.min(...after.others)).toBeGreaterThan(1.3 * Math.max(...before.others));
        // Requests of the sender that were expected in time are overtaken by later ones of others, which costs a few.
        expect(after.all).toBeGreaterThan(0.95 * before.all);
    });

    it("keep the order of the requests of one tenant, and of requests without one", () => {
        const queue = new SlotQueue<SlotRequest>(() => 1, new WorkTimeEstimator());
        const create = (targetAt: number, tenant?: string): SlotRequest => ({
            deadlineAt: 9_000,
            isNested: false,
            priority: 1,
            route: "r",
            targetAt,
            tenant,
        });
        queue.enqueue(create(5_000), 0);
        const requests = [create(4_000, "a"), create(3_000, "a"), create(5_000, "b"), create(3_500), create(3_400)];
        requests.forEach(request => queue.enqueue(request, 0));
        const order = requests.map(() => queue.releaseSlot(1).started[0]);
        const listOf = (tenant?: string) =>
            order.filter(request => request?.tenant === tenant).map(each => each?.targetAt);
        expect([listOf("a"), listOf()]).toEqual([[3_000, 4_000], [3_400, 3_500]]);
        expect(order.slice(0, 3).map(request => request?.tenant).sort()).toEqual(["a", "b", undefined]);
    });
});
