import { describe, expect, it } from "vitest";
import type { Member } from "../../../../state/members/index.js";
import { MemberState, MemberTable } from "../../../../state/members/index.js";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { selectNeighbours } from "../../index.js";
import { REGION_LINKS_PER_DOMAIN } from "../../Neighbours.js";

const REGIONS = ["erie", "superior", "huron", "ontario"];

function createMember(index: number, domains: number, regions: number): Member {
    const domain = index % domains;
    return {
        address: `10.0.${index >> 8}.${index & 255}`,
        failureDomain: `domain-${domain}`,
        id: `daemon-${index}`,
        incarnation: 1,
        peerPort: 7_000,
        region: REGIONS[domain % regions] as string,
        relayPort: 7_000,
        revision: 0,
        state: MemberState.Live,
    };
}

function createMesh(size: number, domains: number, regions: number, down: ReadonlySet<string> = new Set()) {
    const members = Array.from({ length: size }, (_value, index) => createMember(index, domains, regions));
    const table = new MemberTable();
    members.forEach(member => table.merge(member));
    const live = members.filter(({ id }) => !down.has(id));
    const links = new Map(live.map(member => [member.id, new Set<string>()]));
    for (const member of live) {
        for (const id of selectNeighbours(table, member, other => down.has(other))) {
            links.get(member.id)?.add(id);
            links.get(id)?.add(member.id);
        }
    }
    return { links, live };
}

/** Numbers of sessions that the given daemons of a mesh keep with neighbours. */
function countOpened(size: number, domains: number, regions: number, sampled: readonly number[]): readonly number[] {
    const members = Array.from({ length: size }, (_value, index) => createMember(index, domains, regions));
    const table = new MemberTable();
    members.forEach(member => table.merge(member));
    return sampled.map(index => selectNeighbours(table, members[index] as Member, () => false).size);
}

/** Number of hops in which what one daemon knows reaches all others; undefined when it does not. */
function computeHops(links: ReadonlyMap<string, ReadonlySet<string>>, from: string): number | undefined {
    const reached = new Set([from]);
    let edge = [from];
    let hops = 0;
    while (edge.length > 0 && reached.size < links.size) {
        edge = edge.flatMap(id => [...links.get(id) ?? []].filter(other => !reached.has(other)));
        edge.forEach(id => reached.add(id));
        hops++;
    }
    return reached.size === links.size ? hops : undefined;
}

// Guards against sessions that grow with the fleet, and against parts of it that records and versions don't reach.
describe("neighbours", () => {
    it.each([
        { domains: 4, limit: 8, regions: 2, size: 20 },
        { domains: 8, limit: 11, regions: 2, size: 200 },
        { domains: 13, limit: 18, regions: 4, size: 2_000 },
        { domains: 13, limit: 18, regions: 4, size: 18_000 },
    ])("of $size daemons are at most $limit a daemon", ({ domains, limit, regions, size }) => {
        const sampled = Array.from({ length: Math.min(size, 400) }, (_value, index) => index * Math.ceil(size / 400));
        const opened = countOpened(size, domains, regions, sampled.filter(index => index < size));
        expect(Math.max(...opened)).toBeLessThanOrEqual(limit);
    });

    it.each([
        { domains: 4, regions: 2, size: 20 },
        { domains: 8, regions: 2, size: 200 },
        { domains: 13, regions: 4, size: 2_000 },
    ])("connect $size daemons in a logarithmic number of hops", ({ domains, regions, size }) => {
        const { links, live } = createMesh(size, domains, regions);
        const hops = computeHops(links, live[size - 1]?.id ?? "");
        expect(hops).toBeLessThanOrEqual(Math.ceil(Math.log2(size)) + 2);
    });

    it("connect the daemons that are left when a third of them is down", () => {
        const random = createSeededRandom(7);
        const down = new Set(
            Array.from({ length: 195 }, (_value, index) => `daemon-${index}`).filter(() => random() < 0.33),
        );
        const { links, live } = createMesh(195, 8, 2, down);
        expect(computeHops(links, live[0]?.id ?? "")).toBeLessThanOrEqual(10);
    });

    it("cross to other regions only from the first daemons of each failure domain", () => {
        const { links, live } = createMesh(200, 8, 2);
        const region = new Map(live.map(member => [member.id, member.region]));
        const crossing = live.filter(({ id }) =>
            [...links.get(id) ?? []].some(other => region.get(other) !== region.get(id))
        );
        expect(crossing.length).toBeLessThanOrEqual(8 * REGION_LINKS_PER_DOMAIN);
    });
});
