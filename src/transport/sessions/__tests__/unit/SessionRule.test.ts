/**
 * Guards against events of one run of a request that another request, or another run of the same id, gets from a session.
 * More histories by hand: SESSION_HISTORIES=30000 npx vitest run src/transport/sessions/__tests__/unit/SessionRule.test.ts --testTimeout 0
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { findViolation, histories } from "../fixtures/SessionHistory.js";

const HISTORIES = Number(process.env["SESSION_HISTORIES"] ?? 1_200);
const SEED = Number(process.env["SESSION_SEED"] ?? 8_401);

describe("a request on a session", () => {
    it("gets the events of its own run in order, and one last event, in every history", async () => {
        await fc.assert(
            fc.asyncProperty(histories, async history => {
                expect(await findViolation(history)).toBeUndefined();
            }),
            { numRuns: HISTORIES, seed: SEED },
        );
    });
});
