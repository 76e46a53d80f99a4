import { describe, expect, it } from "vitest";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { generateRenewalSteps, RenewalStepKind } from "../../index.js";

/** Steps of a renewal for which the store refuses its readings, or leaves them without an answer. */
function listSteps(storeTurnMs: number, answersStore = true): readonly string[] {
    const listed: string[] = [];
    const steps = generateRenewalSteps(storeTurnMs);
    for (let step = steps.next(); step.done !== true;) {
        const isReading = step.value.kind === RenewalStepKind.ReadStore;
        listed.push(step.value.kind === RenewalStepKind.AskDaemons ? `ask ${step.value.waitMs}` : "read");
        step = steps.next(isReading && answersStore);
    }
    return listed;
}

/** Guards against hundreds of daemons that read the store together, and against requests that wait for a silent one. */
describe("the renewal of a lease", () => {
    it("asks other daemons before the store, which is read once more after a refusal", () => {
        expect(listSteps(0)).toEqual(["ask 60", "read", "ask 120", "read"]);
    });

    it("ends when the store has left a reading without an answer, so that requests are held no longer", () => {
        expect(listSteps(0, false)).toEqual(["ask 60", "read"]);
    });

    it("asks other daemons again, less and less often, until the turn of this one at the store", () => {
        expect(listSteps(300)).toEqual([
            "ask 60",
            "ask 120",
            "ask 120",
            "read",
            "ask 120",
            "read",
        ]);
    });
});

interface MeshRenewal {
    readonly storeReads: number;
    /** Time until the last daemon has a confirmation. */
    readonly longestMs: number;
}

/** Plays the renewals of a mesh whose daemons all begin at once; each has 18 neighbours and none has a confirmation. */
function renewAll(daemons: number): MeshRenewal {
    const TICK_MS = 5;
    const STORE_SPREAD_MS = 5;
    const random = createSeededRandom(1);
    const select = (): number => Math.floor(random() * daemons);
    const states = Array.from({ length: daemons }, () => ({
        at: 0,
        neighbours: Array.from({ length: 18 }, select),
        renewedAt: Infinity,
        steps: generateRenewalSteps(random() * daemons * STORE_SPREAD_MS),
    }));
    let storeReads = 0;
    let now = 0;
    for (; states.some(({ renewedAt }) => renewedAt > now); now += TICK_MS) {
        for (const state of states.filter(({ at, renewedAt }) => at <= now && renewedAt > now)) {
            const step = state.steps.next(false).value;
            if (step?.kind === RenewalStepKind.AskDaemons) {
                const asked = [random(), random()].map(share => states[state.neighbours[Math.floor(share * 18)] ?? 0]);
                const isTold = asked.some(other => other !== undefined && other.renewedAt <= now);
                state.renewedAt = isTold ? now + TICK_MS : Infinity;
                state.at = now + step.waitMs;
            }
            else {
                storeReads++;
                state.renewedAt = now + TICK_MS;
            }
        }
    }
    return { longestMs: now, storeReads };
}

/** Guards against a store that the whole mesh calls, and against a mesh that waits for the store's rate, once watchers are silent. */
describe("the renewals of a whole mesh", () => {
    it.each([
        { daemons: 86, maximumMs: 600 },
        { daemons: 18_000, maximumMs: 1_500 },
    ])("are over soon, with few calls to the store, at $daemons daemons", ({ daemons, maximumMs }) => {
        const { longestMs, storeReads } = renewAll(daemons);
        expect(storeReads).toBeLessThan(200);
        expect(longestMs).toBeLessThanOrEqual(maximumMs);
    });
});
