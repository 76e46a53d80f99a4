/**
 * Guards against requests and parts of answers that get lost since a connection goes on with the counts of an abandoned
 * session, and against requests that reach a server although their session was abandoned before they arrived.
 */
import { afterEach, describe, expect, it, vi } from "vitest";
import { ReliableChannel } from "../../../../protocol/session/index.js";
import { runTurns } from "../fixtures/DrawnNetwork.js";
import { advanceRun } from "../fixtures/NumberedRuns.js";
import { findViolation } from "../fixtures/SessionHistory.js";
import type { Action, Step } from "../fixtures/SessionHistory.js";
import { SessionWorld } from "../fixtures/SessionWorld.js";

afterEach(() => vi.restoreAllMocks());

describe("a session that is abandoned", () => {
    it("while a handshake is under way loses no later request", async () => {
        const step = (action: Action, pick: number, isFlowing = false): Step => ({ action, isFlowing, pick, turns: 1 });
        // The caller loses its connection, and doesn't get the owner's welcomes until it has kept the session for long enough.
        const history = [
            step("submit", 0, true),
            step("advance", 0, true),
            step("lose", 1),
            step("advance", 6),
            step("advance", 6),
            step("advance", 4),
            step("advance", 4),
            step("advance", 4),
            step("submit", 0),
            step("advance", 0),
            step("deliver", 0),
        ];
        expect(await findViolation(history)).toBeUndefined();
    });

    it("since the owner takes nothing loses no part of a later answer", async () => {
        const world = new SessionWorld();
        const flow = async (): Promise<void> => {
            for (let round = 0; round < 4; round++) {
                world.network.deliverAll();
                await runTurns(2);
            }
        };
        world.startOwner();
        world.startCaller();
        await flow();
        world.submit(0);
        await flow();
        world.runs.forEach(run => advanceRun(run, 1));
        const limit = vi.spyOn(ReliableChannel.prototype, "isOverLimit", "get").mockReturnValue(true);
        await world.clock.advance(250);
        limit.mockRestore();
        await flow();
        await world.clock.advance(250);
        await flow();
        world.submit(0);
        await flow();
        const run = world.runs[1];
        if (run !== undefined) {
            advanceRun(run, 5);
            await flow();
            advanceRun(run, 2);
            // The ping arrives, and what the owner has sent before it doesn't.
            await world.clock.advance(500);
            world.network.deliver(1, Infinity);
            await runTurns(2);
            world.network.lose(2, true);
        }
        await world.calm();
        world.checkEnds();
        expect([world.submits[1]?.end, world.violation]).toEqual(["end", undefined]);
    });

    it("runs no request that arrives after the session that follows it", async () => {
        const world = new SessionWorld();
        world.startOwner();
        world.startCaller();
        for (let round = 0; round < 4; round++) {
            world.network.deliverAll();
            await runTurns(2);
        }
        world.submit(0);
        world.replaceSession();
        await runTurns(2);
        // The hello of the next session overtakes the request.
        world.network.deliver(1, 1);
        await runTurns(2);
        world.network.deliverAll();
        await runTurns(2);
        expect([world.submits[0]?.end, world.runs.length]).toEqual(["unknown: the record was removed", 0]);
    });
});
