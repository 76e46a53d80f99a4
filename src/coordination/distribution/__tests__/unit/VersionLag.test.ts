import { describe, expect, it } from "vitest";
import { OWN_DECISION_LIMIT_MS, VersionLag } from "../../index.js";

const SOURCES = ["a"];

function createLag(own: number): VersionLag {
    const lag = new VersionLag();
    lag.recordOwn(own);
    return lag;
}

function listSources(lag: VersionLag, ids: readonly string[], now: number): readonly string[] {
    return lag.listSources(ids.map(id => ({ id })), now).map(({ id }) => id);
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

    it("goes on counting while the only other daemon changes its version ever again", () => {
        const lag = createLag(4);
        for (let count = 0; count < 5; count++) {
            lag.recordPeer("a", 5 + count, 400 * count);
        }
        expect(lag.readBehindMs(1_600)).toBe(1_600);
        expect(lag.mayDecide(SOURCES, 1_600)).toBe(false);
        lag.recordOwn(6);
        expect(lag.readBehindMs(1_600)).toBe(800);
    });

    it("goes on counting when a message that was on its way for long names the other daemon's version before", () => {
        const lag = createLag(4);
        lag.recordPeer("a", 5, 0);
        lag.recordPeer("a", 4, 400);
        lag.recordPeer("a", 5, 410);
        expect(lag.readBehindMs(600)).toBe(600);
        expect(lag.mayDecide(SOURCES, 600)).toBe(false);
    });

    it("keeps a bounded number of another daemon's versions, among them the oldest that is missing", () => {
        const lag = createLag(4);
        for (let version = 5; version < 100_000; version++) {
            lag.recordPeer("a", version, version);
        }
        expect(lag.readBehindMs(100_000)).toBe(100_000 - 5);
        lag.recordOwn(99_999);
        expect(lag.isBehind).toBe(false);
    });

    it("asks daemons with any newer version, but none that is older than one known for long or than one that decided", () => {
        const lag = createLag(4);
        lag.recordPeer("same", 4, 0);
        lag.recordPeer("newer", 5, 0);
        lag.recordPeer("newest", 6, 0);
        const list = (now: number) => listSources(lag, ["same", "newer", "newest", "unknown"], now);
        expect(list(OWN_DECISION_LIMIT_MS)).toEqual(["newer", "newest"]);
        expect(list(OWN_DECISION_LIMIT_MS + 1)).toEqual(["newest"]);
        lag.requireVersion(7, 1);
        expect(list(1)).toEqual([]);
    });

    it("no longer takes the word of a daemon that leaves queries unanswered, for a time", () => {
        const lag = createLag(4);
        lag.recordPeer("a", 5, 0);
        for (let count = 0; count < 3; count++) {
            expect(listSources(lag, ["a"], 1_000)).toEqual(["a"]);
            lag.recordUnanswered("a", 1_000);
        }
        expect([listSources(lag, ["a"], 1_000), lag.readNewestBelieved(1_000)]).toEqual([[], 4]);
        expect([listSources(lag, ["a"], 4_000), lag.readNewestBelieved(4_000)]).toEqual([["a"], 5]);
        lag.recordUnanswered("a", 4_000);
        expect(listSources(lag, ["a"], 7_000)).toEqual([]);
        lag.recordAnswer("a");
        expect(listSources(lag, ["a"], 7_000)).toEqual(["a"]);
    });

    it("goes on asking the others while one daemon claims a version that nobody has", () => {
        const lag = createLag(4);
        lag.recordPeer("faulty", Number.MAX_SAFE_INTEGER, 0);
        lag.recordPeer("a", 5, 0);
        for (let count = 0; count < 3; count++) {
            lag.recordUnanswered("faulty", 1_000);
        }
        expect(listSources(lag, ["faulty", "a"], 1_100)).toEqual(["a"]);
    });

    it("forgets the versions of daemons that are gone", () => {
        const lag = createLag(4);
        lag.recordPeer("a", 5, 0);
        lag.removePeer("a");
        expect({ behindMs: lag.readBehindMs(1), newest: lag.newestKnown }).toEqual({ behindMs: undefined, newest: 4 });
    });
});
