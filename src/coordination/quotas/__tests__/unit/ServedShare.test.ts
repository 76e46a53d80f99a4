/**
 * Guards against limits that are kept but not used: what is served of what one token bucket for all daemons would allow.
 * Where many daemons share a small limit evenly, less can be served at once (docs/design/quotas.md).
 */
import { describe, expect, it } from "vitest";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { QuotaMesh } from "../fixtures/QuotaMesh.js";

const STEP_MS = 20;
const TENANT = "ledger";

interface Load {
    readonly daemons: number;
    readonly ratePerSecond: number;
    readonly burst: number;
    /** Requests a second at a daemon. */
    readonly readRate: (index: number, now: number) => number;
    readonly troubles?: (mesh: QuotaMesh) => void;
}

/** Plays a load and returns the share of the allowed requests that were served from `begin` to `end`. */
function measureShare({ burst, daemons, ratePerSecond, readRate, troubles }: Load, begin: number, end: number): number {
    const random = createSeededRandom(7);
    const transmit = () => ({ delaysMs: [0.6 + random() * 12], slackMs: 2 });
    const mesh = new QuotaMesh(daemons, [{ burst, name: TENANT, ratePerSecond }], transmit, random);
    troubles?.(mesh);
    let tokens = burst;
    let allowed = 0;
    const step = (): void => {
        mesh.schedule(STEP_MS, step);
        tokens = Math.min(burst, tokens + ratePerSecond * STEP_MS / 1_000);
        for (let index = 0; index < daemons; index++) {
            for (let left = readRate(index, mesh.now) * STEP_MS / 1_000; left > 0; left--) {
                if (random() < left) {
                    mesh.request(index, TENANT);
                    allowed += tokens >= 1 && mesh.now >= begin ? 1 : 0;
                    tokens -= tokens >= 1 ? 1 : 0;
                }
            }
        }
    };
    step();
    mesh.runUntil(end);
    return mesh.countServed(TENANT, begin, end) / allowed;
}

describe("the served share in steady state", () => {
    const limits = { burst: 200, daemons: 20, ratePerSecond: 200 };

    it.each([0.5, 0.9, 1.5, 5])("is whole at one daemon, at load %d", load => {
        const readRate = (index: number) => index === 3 ? load * 200 : 0;
        expect(measureShare({ ...limits, readRate }, 10_000, 30_000)).toBeGreaterThan(0.97);
    });

    it.each([0.5, 0.9, 1.5, 5])("is whole at all daemons evenly, at load %d", load => {
        const readRate = () => load * 10;
        expect(measureShare({ ...limits, readRate }, 10_000, 30_000)).toBeGreaterThan(0.97);
    });

    it.each([0.5, 0.9, 5])("is whole where few daemons have most of the load, at load %d", load => {
        const readRate = (index: number) => load * 200 / (index + 1) / 3.6;
        expect(measureShare({ ...limits, readRate }, 10_000, 30_000)).toBeGreaterThan(0.97);
    });
});

describe("the served share within 3 s of a shift", () => {
    const limits = { burst: 200, daemons: 24, ratePerSecond: 200 };
    const SHIFT_AT = 12_000;

    it.each([3, 7.5])("is high when a tenant sends %d times its usual load", factor => {
        const readRate = (_: number, now: number) => (now < SHIFT_AT ? 1 : factor) * 0.5 * 200 / 24;
        expect(measureShare({ ...limits, readRate }, SHIFT_AT + 3_000, SHIFT_AT + 10_000)).toBeGreaterThan(0.9);
    });

    it("is high when a wave moves to another failure domain", () => {
        const readRate = (index: number, now: number) => Math.floor(index / 6) === (now < SHIFT_AT ? 0 : 2) ? 25 : 2;
        expect(measureShare({ ...limits, readRate }, SHIFT_AT + 3_000, SHIFT_AT + 10_000)).toBeGreaterThan(0.9);
    });

    it("is high when daemons restart that aren't the allocator", () => {
        const troubles = (mesh: QuotaMesh): void =>
            mesh.schedule(SHIFT_AT, () => [3, 9, 15].forEach(index => mesh.restart(index)));
        const readRate = () => 0.8 * 200 / 24;
        expect(measureShare({ ...limits, readRate, troubles }, SHIFT_AT + 3_000, SHIFT_AT + 10_000)).toBeGreaterThan(
            0.9,
        );
    });
});
