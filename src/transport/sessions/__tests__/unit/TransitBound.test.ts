import { describe, expect, it } from "vitest";
import { TransitBound } from "../../TransitBound.js";

/** Offset of the other daemon's clock. */
const OFFSET_MS = -5_000;

/** Guards against statements that pass as recent although their message has waited on its way. */
describe("the bound of a message's transit", () => {
    it("is unknown without a round trip", () => {
        expect(new TransitBound().measureTransit(OFFSET_MS, 2)).toBe(Infinity);
    });

    it("is the shortest round trip for the fastest message", () => {
        const transit = new TransitBound();
        transit.recordRoundTrip(40);
        transit.recordRoundTrip(4);
        transit.recordRoundTrip(30);
        expect(transit.measureTransit(100 + OFFSET_MS, 102)).toBe(4);
    });

    it("grows by the time that a message waited longer than the fastest one", () => {
        const transit = new TransitBound();
        transit.recordRoundTrip(4);
        transit.measureTransit(100 + OFFSET_MS, 102);
        expect(transit.measureTransit(200 + OFFSET_MS, 1_702)).toBe(1_504);
    });

    it("is never below the transit, also when all messages wait in a full link", () => {
        const transit = new TransitBound();
        transit.recordRoundTrip(2_010);
        expect(transit.measureTransit(100 + OFFSET_MS, 2_100)).toBeGreaterThanOrEqual(2_000);
    });
});
