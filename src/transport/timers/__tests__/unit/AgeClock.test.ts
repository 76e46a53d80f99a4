import { describe, expect, it } from "vitest";
import { AgeClock } from "../../index.js";

/** A VM whose clocks a test moves. */
function createVm() {
    const state = { steady: 5_000, wall: 1_700_000_000_000 };
    const losses: number[] = [];
    const clock = new AgeClock({
        now: () => state.steady,
        onLost: ms => losses.push(ms),
        readWallClock: () => state.wall,
    });
    return {
        clock,
        losses,
        /** Lets time go by in small steps; the clock is read after each. */
        run: (ms: number, wallShare = 1): void => {
            for (let step = 0; step < ms; step += 10) {
                state.steady += 10;
                state.wall += 10 * wallShare;
                clock.now();
            }
        },
        setTimeOfDay: (ms: number): void => {
            state.wall += ms;
        },
        suspend: (ms: number): void => {
            state.wall += ms;
        },
    };
}

/** Guards against a VM that was suspended, to which a version is as newly confirmed as before, so that others believe it. */
describe("the clock of ages", () => {
    it("goes with the steady clock", () => {
        const { clock, losses, run } = createVm();
        const before = clock.now();
        run(4_000);
        expect(clock.now() - before).toBe(4_000);
        expect(losses).toEqual([]);
    });

    it("counts the time for which the VM was suspended", () => {
        const { clock, losses, run, suspend } = createVm();
        const before = clock.now();
        run(100);
        suspend(3_000);
        run(100);
        expect(clock.now() - before).toBe(3_200);
        expect(losses).toEqual([3_000]);
    });

    it("counts short suspensions once they add up", () => {
        const { clock, run, suspend } = createVm();
        const before = clock.now();
        for (let time = 0; time < 10; time++) {
            suspend(20);
            run(10);
        }
        expect(clock.now() - before).toBeGreaterThanOrEqual(100 + 200 - 50);
    });

    it("never goes back, and counts a suspension after the time of day was set back", () => {
        const { clock, run, setTimeOfDay, suspend } = createVm();
        const before = clock.now();
        setTimeOfDay(-2_000);
        run(100);
        expect(clock.now() - before).toBe(100);
        suspend(1_000);
        expect(clock.now() - before).toBe(1_100);
    });

    it("takes a step of the time of day ahead for a suspension, so that ages are too old at most", () => {
        const { clock, run, setTimeOfDay } = createVm();
        const before = clock.now();
        setTimeOfDay(2_000);
        run(100);
        expect(clock.now() - before).toBe(2_100);
    });

    it("ignores that the time of day is slower or faster by little", () => {
        const { clock, losses, run } = createVm();
        const before = clock.now();
        run(10_000, 0.999);
        run(10_000, 1.001);
        expect(clock.now() - before).toBe(20_000);
        expect(losses).toEqual([]);
    });

    it("measures from a time of the steady clock, with what was lost since", () => {
        const { clock, run, suspend } = createVm();
        suspend(700);
        run(100);
        const pingedAt = 5_100;
        suspend(900);
        run(50);
        expect(clock.measureSince(pingedAt)).toBe(950);
        expect(clock.measureSince(5_000)).toBe(1_750);
    });
});
