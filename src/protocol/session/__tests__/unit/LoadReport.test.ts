/** Guards against load reports that a daemon of another build can't read, and against bytes for figures that no server tells. */
import { describe, expect, it } from "vitest";
import { decodeSessionMessage, encodeSessionMessage } from "../../index.js";

const load = {
    coldLeftMs: 0,
    isOpen: true,
    queued: 0,
    running: 1,
    slots: 4,
    waits: { inTimeMs: 0, lateMs: 0, nestedMs: 0 },
    workMs: 95,
};

describe("the load report of an owner", () => {
    it("carries the work factor that the server tells", () => {
        const frame = encodeSessionMessage({ kind: "load", load: { ...load, workFactor: 1.5 }, server: undefined });
        expect(decodeSessionMessage(frame)).toMatchObject({ load: { workFactor: 1.5 } });
    });

    it("is as long as before without one", () => {
        const usual = encodeSessionMessage({ kind: "load", load, server: undefined });
        const told = encodeSessionMessage({
            kind: "load",
            load: { ...load, workFactor: undefined },
            server: undefined,
        });
        expect(told).toEqual(usual);
        expect(decodeSessionMessage(usual)).not.toHaveProperty("load.workFactor");
    });
});
