import { describe, expect, it } from "vitest";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { LinkBudget, SlotQueue, WorkTimeEstimator } from "../../index.js";
import type { SlotRequest } from "../../index.js";

/** Link of a weak VM, 8.4 Mbit/s. */
const LINK_BYTES_PER_MS = 1_050;
const LENGTH_MS = 20_000;
const STEP_MS = 5;
const WORK_MS = 290;
const KINDS = [
    { answerBytes: 90_000, deadlineMs: 3_000, perSecond: 14, route: "download", targetMs: 1_200 },
    { answerBytes: 5_000, deadlineMs: 2_500, perSecond: 6, route: "report", targetMs: 1_000 },
] as const;

interface LinkRequest extends SlotRequest {
    readonly answerBytes: number;
}

/** Share of the requests that were answered in time, by route. */
interface LinkOutcome {
    readonly inTime: Readonly<Record<string, number>>;
    readonly refused: number;
    readonly failed: number;
}

/** Replays a load whose answers pass a link one after the other, as they leave the server. */
function replayLink(link: LinkBudget): LinkOutcome {
    const random = createSeededRandom(5);
    const estimates = new WorkTimeEstimator();
    const queue = new SlotQueue<LinkRequest>(() => 18, estimates, undefined, link);
    const asked = new Map<string, number>();
    const inTime = new Map<string, number>();
    let running: { readonly request: LinkRequest; readonly endsAt: number; }[] = [];
    let linkFreeAt = 0;
    let refused = 0;
    let failed = 0;
    const addTo = (counts: Map<string, number>, route: string) => counts.set(route, (counts.get(route) ?? 0) + 1);
    for (let now = 0; now < LENGTH_MS; now += STEP_MS) {
        const apply = (changes: ReturnType<typeof queue.dispatch>): void => {
            refused += changes.refused.length;
            for (const request of changes.started) {
                running.push({ endsAt: now + WORK_MS * (0.5 + random()), request });
            }
        };
        for (const { answerBytes, deadlineMs, perSecond, route, targetMs } of KINDS) {
            if (random() < perSecond * STEP_MS / 1_000) {
                addTo(asked, route);
                apply(queue.enqueue({
                    answerBytes,
                    deadlineAt: now + deadlineMs,
                    isNested: false,
                    priority: 2,
                    route,
                    targetAt: now + targetMs,
                }, now));
            }
        }
        for (const { request } of running.filter(({ endsAt }) => endsAt <= now)) {
            estimates.record(request.route, WORK_MS);
            linkFreeAt = Math.max(now, linkFreeAt) + request.answerBytes / LINK_BYTES_PER_MS;
            if (linkFreeAt <= request.targetAt) {
                addTo(inTime, request.route);
            }
            failed += Number(linkFreeAt > request.deadlineAt);
            apply(queue.releaseSlot(now));
        }
        running = running.filter(({ endsAt }) => endsAt > now);
        apply(queue.dispatch(now));
    }
    return {
        failed,
        inTime: Object.fromEntries([...asked].map(([route, count]) => [route, (inTime.get(route) ?? 0) / count])),
        refused,
    };
}

/** Guards against small answers that are late, and downloads that run in vain, since downloads overfill a link. */
describe("a server whose downloads need more than its VM's link carries", () => {
    it("answers small requests in time, and as many downloads as the link carries", () => {
        const { failed, inTime, refused } = replayLink(new LinkBudget(LINK_BYTES_PER_MS));
        expect(inTime["report"]).toBeGreaterThan(0.95);
        expect(inTime["download"]).toBeGreaterThan(0.55);
        expect(failed).toBe(0);
        expect(refused).toBeGreaterThan(0);
    });

    it("answers hardly anything in time without the budget, which shows that the load overfills the link", () => {
        const { failed, inTime } = replayLink(new LinkBudget());
        expect(inTime["report"]).toBeLessThan(0.5);
        expect(failed).toBeGreaterThan(10);
    });
});

describe("link budget", () => {
    it("refuses a download at once with the time at which the link is free, though slots are free", () => {
        const link = new LinkBudget(100);
        const queue = new SlotQueue<SlotRequest>(() => 18, new WorkTimeEstimator(), undefined, link);
        link.take(200_000, 0);
        const request = { deadlineAt: 3_000, isNested: false, priority: 2, route: "r", targetAt: 1_200 };
        const [refused] = queue.enqueue({ ...request, answerBytes: 90_000 }, 0).refused;
        expect(refused?.refusal).toEqual({ reason: "overloaded", retryAfterMs: 2_250 });
        expect(queue.enqueue({ ...request, answerBytes: 2_000 }, 0).started.length).toBe(1);
    });

    it.each([
        ["a fast link", 125_000],
        ["a weak link that is free", LINK_BYTES_PER_MS],
    ])("lets a late download wait for a slot behind another one on %s", (_name, linkBytesPerMs) => {
        const link = new LinkBudget(linkBytesPerMs);
        const queue = new SlotQueue<SlotRequest>(() => 1, new WorkTimeEstimator(), undefined, link);
        const request = { answerBytes: 90_000, deadlineAt: 3_000, isNested: false, priority: 2, route: "r" };
        queue.enqueue({ ...request, targetAt: 1_200 }, 0);
        queue.enqueue({ ...request, targetAt: 1_200 }, 0);
        const { refused } = queue.enqueue({ ...request, targetAt: 100 }, 0);
        expect([refused.length, queue.queued]).toEqual([0, 2]);
    });

    it("doesn't hold back small answers while large ones have taken the link", () => {
        const link = new LinkBudget(100);
        link.take(1_000_000, 0);
        expect(link.estimateDelay(1_000, 0)).toBe(0);
        expect(link.estimateDelay(90_000, 0)).toBeGreaterThan(10_000);
    });

    it("holds nothing back on a fast link", () => {
        const link = new LinkBudget(125_000);
        expect(link.isBottleneck).toBe(false);
        for (let count = 0; count < 100; count++) {
            expect(link.estimateDelay(90_000, 0)).toBe(0);
            link.take(90_000, 0);
        }
    });
});

// Guards against downloads that are admitted to a link of which small messages leave less than they need.
describe("small messages on a weak link", () => {
    const LARGE_SHARE = 0.8;
    const SMALL_SHARE = 0.1;
    const DURATION_MS = 2_000;
    const takeSmall = (share: number): LinkBudget => {
        const link = new LinkBudget(LINK_BYTES_PER_MS);
        for (let now = 0; now < DURATION_MS; now += STEP_MS) {
            link.takeSmall(share * LINK_BYTES_PER_MS * STEP_MS, now);
        }
        return link;
    };

    it("delay no download within their own share of the link", () => {
        expect(takeSmall(SMALL_SHARE).estimateDelay(90_000, DURATION_MS)).toBe(0);
    });

    it("delay downloads by what they take beyond it", () => {
        const delayMs = takeSmall(1 + SMALL_SHARE).estimateDelay(90_000, DURATION_MS);
        // The whole link is used beyond the own share of small messages: 1.0 is taken of the 0.8 for large answers.
        const usedMs = DURATION_MS / LARGE_SHARE;
        expect(delayMs).toBeLessThan(usedMs - DURATION_MS);
        expect(delayMs).toBeGreaterThan(0.3 * (usedMs - DURATION_MS));
    });
});
