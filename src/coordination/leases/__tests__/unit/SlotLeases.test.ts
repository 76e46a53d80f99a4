import { describe, expect, it } from "vitest";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { HeldLeases, LEASE_RENEWAL_INTERVAL_MS, LeaseGrants, RESERVED_SLOTS } from "../../index.js";
import type { LeaseRequest } from "../../index.js";

const SLOTS = 8;
const LONGEST_REQUEST_MS = 1_500;
const STEP_MS = 10;

/** A scheduled step of the simulation. */
interface Event {
    readonly at: number;
    run(now: number): void;
}

/**
 * Simulates one owner and three holders on a virtual clock. Renewals and answers together are delayed
 * up to 600 ms and each lost with probability `lossRate`; holders pause for up to 4 s. Returns the
 * highest number of slots in use at a time and the number of requests sent under leases.
 */
function runSimulation(seed: number, lossRate: number, restartsOwner: boolean) {
    const random = createSeededRandom(seed);
    const events: Event[] = [];
    const holders = ["h1", "h2", "h3"].map(id => ({ id, leases: new HeldLeases(), pausedUntil: 0, isWaiting: false }));
    let grants = new LeaseGrants(0);
    let ownRunning = 0;
    let leasedRunning = 0;
    let highest = 0;
    let sent = 0;
    const schedule = (at: number, run: (now: number) => void): void => {
        events.push({ at, run });
    };
    const renew = (holder: (typeof holders)[number], now: number): void => {
        const plan = holder.leases.planRenewal("owner", now);
        const request: LeaseRequest = { holder: holder.id, wanted: plan.wanted, inUse: plan.inUse, sent: plan.sent };
        holder.isWaiting = true;
        schedule(now + 800, () => {
            holder.isWaiting = false;
        });
        if (random() < lossRate) {
            return;
        }
        schedule(now + random() * 300, at => {
            const granted = grants.renew(request, {
                serverSlots: SLOTS,
                ownRunning,
                ownQueued: 0,
                isLeasable: true,
                longestRequestMs: LONGEST_REQUEST_MS,
            }, at);
            const answerAt = at + random() * 300;
            if (random() >= lossRate) {
                schedule(answerAt, () => {
                    holder.leases.applyGrant("owner", granted, now);
                });
            }
        });
    };
    for (let now = 0; now < 60_000; now += STEP_MS) {
        for (const event of events.splice(0)) {
            if (event.at <= now) {
                event.run(now);
            }
            else {
                events.push(event);
            }
        }
        if (restartsOwner && now === 30_000) {
            grants = new LeaseGrants(now);
            ownRunning = 0;
            events.splice(0, events.length, ...events.filter(event => !("isOwn" in event)));
        }
        const current = grants;
        if (random() < 0.5 && ownRunning < grants.countOwnSlots(SLOTS, now)) {
            ownRunning++;
            const end = {
                at: now + random() * LONGEST_REQUEST_MS,
                isOwn: true,
                run: () => {
                    ownRunning -= current === grants ? 1 : 0;
                },
            };
            events.push(end);
        }
        for (const holder of holders) {
            if (now < holder.pausedUntil) {
                continue;
            }
            if (random() < 0.0005) {
                holder.pausedUntil = now + random() * 4_000;
            }
            if (now % LEASE_RENEWAL_INTERVAL_MS === 0 && !holder.isWaiting) {
                renew(holder, now);
            }
            if (random() < 0.3) {
                holder.leases.recordStart("owner", now);
                if (holder.leases.acquireSlot("owner", { class: "families", maximumShare: 1 }, now)) {
                    sent++;
                    leasedRunning++;
                    schedule(now + random() * LONGEST_REQUEST_MS, () => {
                        leasedRunning--;
                        holder.leases.releaseSlot("owner", "families");
                        holder.leases.recordEnd("owner");
                    });
                }
                else {
                    holder.leases.recordEnd("owner");
                }
            }
        }
        highest = Math.max(highest, ownRunning + leasedRunning);
    }
    return { highest, sent };
}

// Guards against an overloaded server when an owner and holders disagree about a lease after lost or
// late messages, pauses or a restart of the owner.
describe("slot leases", () => {
    it("never run more requests than the server has slots when messages are lost or late and holders pause", () => {
        for (let seed = 1; seed <= 40; seed++) {
            const { highest, sent } = runSimulation(seed, 0.2, false);
            expect(highest, `seed ${seed}`).toBeLessThanOrEqual(SLOTS);
            expect(highest).toBeGreaterThan(RESERVED_SLOTS);
            expect(sent).toBeGreaterThan(100);
        }
    });

    it("never run more requests than the server has slots when the owner restarts and loses its state", () => {
        for (let seed = 1; seed <= 40; seed++) {
            expect(runSimulation(seed, 0, true).highest, `seed ${seed}`).toBeLessThanOrEqual(SLOTS);
        }
    });

    it("limit a class to its maximum share of the leased slots", () => {
        const leases = new HeldLeases();
        const camps = { class: "camps", maximumShare: 0.5 };
        leases.recordStart("owner", 0);
        leases.applyGrant("owner", 4, 0);
        expect([1, 2, 3].map(() => leases.acquireSlot("owner", camps, 0))).toEqual([true, true, false]);
        expect(leases.acquireSlot("owner", { class: "families", maximumShare: 1 }, 0)).toBe(true);
        leases.releaseSlot("owner", "camps");
        expect(leases.acquireSlot("owner", camps, 0)).toBe(true);
    });

    it("are renewed early when demand exceeds the requested slots, but not within the minimum interval", () => {
        const leases = new HeldLeases();
        expect(leases.recordStart("owner", 0)).toBe(true);
        expect(leases.planRenewal("owner", 0).wanted).toBe(2);
        expect([10, 20, 300].map(now => leases.recordStart("owner", now))).toEqual([false, false, true]);
        expect(leases.planRenewal("owner", 300).wanted).toBe(5);
        expect(leases.recordStart("owner", 600)).toBe(false);
    });

    it("move from the least used holder to a busier requester once the older grant has expired", () => {
        const grants = new LeaseGrants(-10_000);
        const limits = {
            serverSlots: 3,
            ownRunning: 0,
            ownQueued: 0,
            isLeasable: true,
            longestRequestMs: LONGEST_REQUEST_MS,
        };
        const ask = (holder: string, sent: number, now: number) =>
            grants.renew({ holder, wanted: 1, inUse: 0, sent }, limits, now);
        expect(ask("rare", 1, 0)).toBe(1);
        expect(ask("busy", 100, 10)).toBe(0);
        expect(ask("rare", 1, 1_000)).toBe(0);
        // The slot counts as used until the older grant expires, because the answer that ended it may be lost.
        expect(ask("busy", 100, 1_010)).toBe(0);
        expect(ask("rare", 1, 2_000)).toBe(0);
        expect(ask("busy", 100, 2_010)).toBe(1);
    });
});
