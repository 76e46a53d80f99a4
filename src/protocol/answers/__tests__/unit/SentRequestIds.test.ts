import { describe, expect, it } from "vitest";
import { SentRequestIds } from "../../index.js";

/** Guards against an id that is forgotten, so that an answer of its earlier run can be taken for that of the next one. */
describe("the ids that a connection has carried", () => {
    it("are all known until no more can be remembered", () => {
        const ids = new SentRequestIds();
        let count = 0;
        for (; !ids.isFull; count++) {
            expect(ids.has(`r-${count}`)).toBe(false);
            ids.add(`r-${count}`);
        }
        expect(count).toBe(1_024);
        expect(Array.from({ length: count }, (_value, index) => ids.has(`r-${index}`))).not.toContain(false);
        expect(() => ids.add("one more")).toThrow("1024");
    });
});
