import { describe, expect, it } from "vitest";
import { createIntegerCodec, createOptionalCodec, createRecordCodec } from "../../index.js";

const integer = createIntegerCodec();
const EARLIER = createRecordCodec({ running: integer, limit: createOptionalCodec(integer) });
const LATER = createRecordCodec({ running: integer, limit: createOptionalCodec(integer) }, {
    delayMs: createOptionalCodec(integer),
    cores: createOptionalCodec(integer),
});

/** Guards against meshes in which daemons before and after an update can't read each other. */
describe("a record to which fields were added", () => {
    it("is sent as before while they have no value", () => {
        expect(LATER.encode({ limit: undefined, running: 3 })).toEqual(
            EARLIER.encode({ limit: undefined, running: 3 }),
        );
        expect(LATER.decode([3, null], "load")).toEqual({ limit: undefined, running: 3 });
    });

    it("is read with and without them", () => {
        for (
            const load of [{ limit: 5, running: 3 }, { delayMs: 40, limit: undefined, running: 3 }, {
                cores: 2,
                limit: 1,
                running: 3,
            }]
        ) {
            expect(LATER.decode(LATER.encode(load), "load")).toEqual(load);
        }
        expect(LATER.encode({ delayMs: 40, limit: undefined, running: 3 })).toEqual([3, null, 40]);
    });

    it("is read without the fields that only later daemons know", () => {
        expect(EARLIER.decode(LATER.encode({ delayMs: 40, limit: undefined, running: 3 }), "load")).toEqual({
            limit: undefined,
            running: 3,
        });
    });

    it("is rejected without a field that was always there, or with a wrong value", () => {
        expect(() => LATER.decode([3], "load")).toThrow("load does not have 2 fields");
        expect(() => LATER.decode([3, null, "much"], "load")).toThrow("load.delayMs is not an integer");
    });
});
