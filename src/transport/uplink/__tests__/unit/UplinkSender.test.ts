import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { LinkPacer } from "../../../../coordination/scheduling/index.js";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { UplinkSender } from "../../index.js";

/** Link of the weakest VMs, 5.88 Mbit/s. */
const LINK_BYTES_PER_MS = 735;
/** Wait for the link from which the users count a VM as slowed. */
const SLOWED_WAIT_MS = 500;
const LENGTH_MS = 60_000;
const STEP_MS = 5;
const PART_BYTES = 65_536;
const MEAN_DOWNLOAD_BYTES = 90_000;
const SMALL_BYTES = 1_000;

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
});

afterEach(() => {
    vi.useRealTimers();
});

function generateSize(random: () => number): number {
    const spread = 0.6;
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return MEAN_DOWNLOAD_BYTES * Math.exp(spread * normal - spread * spread / 2);
}

/** Replays downloads and small messages that share a link; returns their times on the way, sorted. */
function replayUplink(
    uplink: UplinkSender,
    smallPerSecond = 30,
): { readonly small: readonly number[]; readonly large: readonly number[]; } {
    const random = createSeededRandom(7);
    const small: number[] = [];
    const large: number[] = [];
    let linkFreeAt = 0;
    const carry = (bytes: number): number => {
        linkFreeAt = Math.max(performance.now(), linkFreeAt) + bytes / LINK_BYTES_PER_MS;
        return linkFreeAt;
    };
    const isDue = (perSecond: number): boolean => random() < perSecond * STEP_MS / 1_000;
    for (let elapsedMs = 0; elapsedMs < LENGTH_MS; elapsedMs += STEP_MS) {
        const now = performance.now();
        if (isDue(6)) {
            for (let left = generateSize(random); left > 0; left -= PART_BYTES) {
                const bytes = Math.min(left, PART_BYTES);
                uplink.sendPart(bytes, () => {
                    const arrivedAt = carry(bytes);
                    if (left <= PART_BYTES) {
                        large.push(arrivedAt - now);
                    }
                });
            }
        }
        if (isDue(smallPerSecond)) {
            uplink.recordSent(SMALL_BYTES);
            small.push(carry(SMALL_BYTES) - now);
        }
        vi.advanceTimersByTime(STEP_MS);
    }
    vi.advanceTimersByTime(LENGTH_MS);
    const sort = (values: number[]): number[] => values.sort((left, right) => left - right);
    return { large: sort(large), small: sort(small) };
}

function getQuantile(sorted: readonly number[], quantile: number): number {
    return sorted[Math.floor(sorted.length * quantile)] ?? NaN;
}

/** Guards against versions, pings and requests that are late since they wait on a weak link behind large answers. */
describe("a weak link with downloads", () => {
    it("lets each small message pass before the VM counts as slowed, and downloads hardly later", () => {
        const unpaced = replayUplink(new UplinkSender(undefined, () => performance.now()));
        const paced = replayUplink(new UplinkSender(new LinkPacer(LINK_BYTES_PER_MS), () => performance.now()));
        expect(paced.small.at(-1)).toBeLessThan(SLOWED_WAIT_MS / 2);
        expect(paced.large).toHaveLength(unpaced.large.length);
        expect(getQuantile(paced.large, 0.5)).toBeLessThan(2 * getQuantile(unpaced.large, 0.5));
    });

    it("is left to small messages first when they take a fifth of it", () => {
        const pacer = new LinkPacer(LINK_BYTES_PER_MS);
        const { small } = replayUplink(new UplinkSender(pacer, () => performance.now()), 150);
        expect(small.at(-1)).toBeLessThan(SLOWED_WAIT_MS / 2);
    });

    it("makes small messages late without the pacer, which shows that the load can fill the link", () => {
        const { small } = replayUplink(new UplinkSender(undefined, () => performance.now()));
        expect(getQuantile(small, 0.95)).toBeGreaterThan(SLOWED_WAIT_MS);
    });
});

describe("the sender of large answers", () => {
    it("divides them into parts that take a weak link for 40 ms, and doesn't on a fast link", () => {
        const body = new Uint8Array(100_000).map((_value, index) => index);
        const paced = new UplinkSender(new LinkPacer(LINK_BYTES_PER_MS), () => performance.now());
        const parts = [...paced.generateParts(body)];
        expect(Math.max(...parts.map(({ length }) => length)) / LINK_BYTES_PER_MS).toBeLessThanOrEqual(40);
        expect(Buffer.concat(parts).equals(body)).toBe(true);
        const unpaced = new UplinkSender(undefined, () => performance.now());
        expect([...unpaced.generateParts(body)]).toHaveLength(1);
        expect([paced.isDivided(body.length), unpaced.isDivided(body.length)]).toEqual([true, false]);
    });

    it("sends parts in order, takes nothing of the link for parts that nobody waits for, and drops all when stopped", () => {
        const uplink = new UplinkSender(new LinkPacer(100), () => performance.now());
        const sent: string[] = [];
        uplink.sendPart(100_000, () => sent.push("first"));
        uplink.sendPart(1_000_000, () => sent.push("unwanted"), () => false);
        uplink.sendPart(100_000, () => sent.push("second"));
        uplink.sendAnswer(100, () => sent.push("small"));
        expect(sent).toEqual(["first", "small"]);
        expect(uplink.waitingBytes).toBe(1_100_000);
        vi.advanceTimersByTime(2_000);
        expect(sent).toEqual(["first", "small", "unwanted", "second"]);
        expect(uplink.isIdle).toBe(true);
        uplink.sendPart(100_000, () => sent.push("third"));
        uplink.stop();
        vi.advanceTimersByTime(10_000);
        expect(sent).not.toContain("third");
    });
});
