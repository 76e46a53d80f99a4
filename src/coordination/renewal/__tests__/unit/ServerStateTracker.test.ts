import { expect, test } from "vitest";
import type { ServerRecord } from "../../../../state/members/index.js";
import { ServerStateTracker } from "../../index.js";

const RECORD: ServerRecord = { address: "127.0.0.1", connections: 120, port: 9, service: "ledger", slots: 12 };

function createWatch(): { watch: ServerStateTracker; states: string[]; } {
    const states: string[] = [];
    const watch = new ServerStateTracker((_record, state) => states.push(state));
    return { states, watch };
}

// Guards against a crashed server that stays listed as live.
test("a server that misses three renewals is announced as dead, and as live when it renews again", () => {
    const { states, watch } = createWatch();
    watch.announce(RECORD, "live", 0);
    expect(watch.tick(3000)).toBe(false);
    watch.tick(3001);
    watch.renew(undefined, 4000);
    expect(states).toEqual(["live", "dead", "live"]);
});

// Guards against probes that use slots of a busy server, and against a server that stays dead after it recovers.
test("a dead server is probed only after 5 s without an answer, and a successful probe makes it live", () => {
    const { states, watch } = createWatch();
    watch.announce(RECORD, "live", 0);
    watch.observeAnswer(3500);
    expect(watch.tick(5000)).toBe(false);
    expect(watch.tick(8500)).toBe(true);
    watch.observeProbe(false, 8501);
    expect(watch.tick(9000)).toBe(false);
    expect(watch.tick(13_501)).toBe(true);
    watch.observeProbe(true, 13_502);
    expect(states).toEqual(["live", "dead", "live"]);
});

// Guards against a leaving server that receives requests again because of a late renewal.
test("a renewal keeps a leaving server leaving, and a closed tracker rejects announcements", () => {
    const { states, watch } = createWatch();
    expect(watch.renew(undefined, 0)).toBe(false);
    watch.announce(RECORD, "starting", 0);
    watch.announce(RECORD, "live", 10);
    watch.close();
    expect(watch.renew(undefined, 20)).toBe(true);
    expect(watch.announce(RECORD, "live", 30)).toBe(false);
    watch.markLeft();
    expect(watch.renew(undefined, 40)).toBe(false);
    expect(states).toEqual(["starting", "live", "leaving", "left"]);
});
