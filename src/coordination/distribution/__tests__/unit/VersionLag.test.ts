import { describe, expect, it } from "vitest";
import { OWN_DECISION_LIMIT_MS, VersionLag } from "../../index.js";

const SOURCES = ["a"];

function createLag(own: number): VersionLag {
    const lag = new VersionLag();
    lag.recordOwn(own);
    return lag;
}

/** Guards against decisions by versions that were replaced, and against one faulty daemon that stops all decisions. */
describe("the lag of a daemon's version", () => {
    it("lets the own version decide for a short time after a newer one became known", () => {
        const lag = createLag(4);
        expect(lag.recordPeer("a", 5, 1_000)).toBe(true);
        expect(lag.mayDecide(SOURCES, 1_000 + OWN_DECISION_LIMIT_MS)).toBe(true);
        expect(lag.mayDecide(SOURCES, 1_001 + OWN_DECISION_LIMIT_MS)).toBe(false);
    });

    it("lets the own version decide while no daemon with a newer one can be asked", () => {
        const lag = createLag(4);
        lag.recordPeer("a", 5, 0);
        expect(lag.mayDecide([], 60_000)).toBe(true);
    });

    it("lets no older version decide after a newer one has, whoever can be asked", () => {
        const lag = createLag(4);
        lag.requireVersion(5, 0);
        expect(lag.mayDecide([], 1)).toBe(false);
        lag.recordOwn(5);
        expect(lag.mayDecide(SOURCES, 60_000)).toBe(true);
    });

    it("counts the time from when the oldest missing version became known, also across versions that arrive late", () => {
        const lag = createLag(4);
        lag.recordPeer("a", 5, 1_000);
        lag.recordPeer("b", 6, 1_400);
        expect(lag.readBehindMs(1_500)).toBe(500);
        lag.recordOwn(5);
        expect(lag.readBehindMs(1_500)).toBe(100);
        lag.recordOwn(6);
        expect(lag.readBehindMs(1_500)).toBeUndefined();
    });

    it("asks only daemons whose versions are newer than the own one and than those that have decided", () => {
        const lag = createLag(4);
        lag.recordPeer("same", 4, 0);
        lag.recordPeer("newer", 5, 0);
        lag.recordPeer("newest", 6, 0);
        const list = () => ["same", "newer", "newest", "unknown"].filter(id => lag.canDecide(id, 1));
        expect(list()).toEqual(["newer", "newest"]);
        lag.requireVersion(6, 1);
        expect(list()).toEqual(["newest"]);
    });

    it("no longer takes the word of a daemon that leaves queries unanswered, for a time", () => {
        const lag = createLag(4);
        lag.recordPeer("a", 5, 0);
        for (let count = 0; count < 3; count++) {
            expect(lag.canDecide("a", 1_000)).toBe(true);
            lag.recordUnanswered("a", 1_000);
        }
        expect(lag.canDecide("a", 1_000)).toBe(false);
        expect(lag.canDecide("a", 4_000)).toBe(true);
        lag.recordAnswer("a");
        expect(lag.canDecide("a", 1_000)).toBe(true);
    });

    it("forgets the versions of daemons that are gone", () => {
        const lag = createLag(4);
        lag.recordPeer("a", 5, 0);
        lag.removePeer("a");
        expect({ behindMs: lag.readBehindMs(1), newest: lag.newestKnown }).toEqual({ behindMs: undefined, newest: 4 });
    });
});
