import { describe, expect, it } from "vitest";
import type { Member } from "../../../../state/members/index.js";
import { createSeededRandom } from "../../../../state/shared/index.js";
import type { MeshView } from "../../../../state/view/index.js";
import { buildLocalityGroups, LoadBalancer } from "../../index.js";

function buildMember(id: string, failureDomain: string, region = "erie"): Member {
    const server = { service: "ledger", address: "127.0.0.1", port: 1, slots: 10, connections: 40 };
    return {
        id,
        address: "127.0.0.1",
        peerPort: 1,
        relayPort: 1,
        failureDomain,
        region,
        incarnation: 1,
        revision: 1,
        state: "live",
        server,
    };
}

function buildBalancer(members: readonly Member[]) {
    const view: MeshView = {
        configuration: undefined,
        members: new Map(members.map(member => [member.id, member])),
        membersByService: new Map([["ledger", members]]),
        cutOffDomains: new Set(),
    };
    const balancer = new LoadBalancer({
        locality: { id: "self", failureDomain: "erie-a", region: "erie" },
        readView: () => view,
        random: createSeededRandom(7),
        isOneHop: () => false,
    });
    const countChoices = (now: number, slowStartMs = 0) => {
        const counts: Record<string, number> = {};
        for (let choice = 0; choice < 1_000; choice++) {
            const id = balancer.selectServer({ service: "ledger", slowStartMs, excluded: new Set(), now })?.id
                ?? "none";
            counts[id] = (counts[id] ?? 0) + 1;
        }
        return counts;
    };
    return { balancer, countChoices };
}

describe("load balancer", () => {
    it("spills requests over to farther groups gradually as the nearer one fills up, and returns them later", () => {
        const { balancer, countChoices } = buildBalancer([
            buildMember("near", "erie-a"),
            buildMember("far", "erie-b"),
            buildMember("remote", "superior-a", "superior"),
        ]);
        const near = [0, 6, 8, 9, 10].map(used => {
            balancer.recordLoad("near", { used, slots: 10, queued: 0, healthy: true }, 0);
            return countChoices(0).near ?? 0;
        });
        expect(near[0]).toBe(1_000);
        expect(near[1]).toBe(1_000);
        expect(near[2]).toBeGreaterThan(600);
        expect(near[3]).toBeLessThan(400);
        expect(near[3]).toBeGreaterThan(200);
        expect(near[4]).toBe(0);
        // The reported load halves every 2 s.
        expect(countChoices(4_000).near).toBe(1_000);
    });

    it("prefers less loaded servers and spreads requests over the others", () => {
        const { balancer, countChoices } = buildBalancer(["a", "b", "c", "d"].map(id => buildMember(id, "erie-a")));
        balancer.recordLoad("a", { used: 6, slots: 10, queued: 0, healthy: true }, 0);
        const counts = countChoices(0);
        expect(counts.a ?? 0).toBeLessThan(50);
        expect(Math.min(counts.b ?? 0, counts.c ?? 0, counts.d ?? 0)).toBeGreaterThan(200);
    });

    it("gives each daemon a subset of 8 servers, and the subsets of many daemons cover all servers evenly", () => {
        const members = Array.from({ length: 40 }, (_, index) => buildMember(`s${index}`, "erie-a"));
        const uses = new Map<string, number>();
        for (let daemon = 0; daemon < 200; daemon++) {
            const place = { id: `d${daemon}`, failureDomain: "erie-a", region: "erie" };
            const [group] = buildLocalityGroups(place, members, new Set());
            expect(group).toHaveLength(8);
            for (const member of group ?? []) {
                uses.set(member.id, (uses.get(member.id) ?? 0) + 1);
            }
        }
        // 200 daemons with 8 of 40 servers each use every server 40 times on average.
        expect(Math.min(...members.map(member => uses.get(member.id) ?? 0))).toBeGreaterThan(20);
        expect(Math.max(...uses.values())).toBeLessThan(65);
    });

    it("excludes servers of cut-off domains while there are others", () => {
        const members = [buildMember("a", "erie-a"), buildMember("b", "erie-b")];
        const place = { id: "self", failureDomain: "erie-a", region: "erie" };
        expect(buildLocalityGroups(place, members, new Set(["erie-a"])).flat().map(({ id }) => id)).toEqual(["b"]);
        expect(buildLocalityGroups(place, members, new Set(["erie-a", "erie-b"])).flat()).toHaveLength(2);
    });
});
