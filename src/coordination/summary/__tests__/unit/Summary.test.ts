import { describe, expect, it } from "vitest";
import type { MeshDocument } from "../../../../state/document/index.js";
import type { Member, MemberState } from "../../../../state/members/index.js";
import type { MeshView } from "../../../../state/view/index.js";
import type { MeshSummary } from "../../index.js";
import { createRegionStatus, EMPTY_SUMMARY, mergeSummaries, withDomainCount } from "../../index.js";

function createDaemonSummary(failureDomain: string, version: number): MeshSummary {
    return withDomainCount({ ...EMPTY_SUMMARY, daemons: 1, versions: [{ daemons: 1, version }] }, failureDomain);
}

function createMember(id: string, failureDomain: string, state: MemberState): Member {
    return {
        address: "127.0.0.1",
        failureDomain,
        id,
        incarnation: 1,
        peerPort: 1,
        region: "erie",
        relayPort: 2,
        revision: 1,
        server: { address: "127.0.0.1", connections: 1, port: 3, service: "ledger", slots: 1 },
        state,
    };
}

/** Creates a view with the planned number of servers of each service and the members of `ledger`. */
function createView(planned: Readonly<Record<string, number>>, members: readonly Member[]): MeshView {
    const services = Object.entries(planned).map(([name, count]) => [name, { servers: { "erie-a": count } }]);
    return {
        configuration: {
            document: { services: Object.fromEntries(services) } as unknown as MeshDocument,
            root: "",
            version: 1,
        },
        cutOffDomains: new Set(["erie-b"]),
        members: new Map(),
        membersByService: new Map([["ledger", members]]),
    };
}

// Guards against totals that depend on the shape of the distribution tree or on older senders.
describe("summaries", () => {
    it("count versions for the mesh and for each failure domain, independent of the order of merging", () => {
        const daemons = [
            createDaemonSummary("erie-b", 7),
            createDaemonSummary("erie-a", 7),
            createDaemonSummary("erie-a", 8),
            createDaemonSummary("erie-a", 7),
        ];
        const expected = [
            { daemons: 3, failureDomain: "erie-a", versions: [{ daemons: 1, version: 8 }, { daemons: 2, version: 7 }] },
            { daemons: 1, failureDomain: "erie-b", versions: [{ daemons: 1, version: 7 }] },
        ];
        const nested = mergeSummaries([mergeSummaries(daemons.slice(2)), mergeSummaries(daemons.slice(0, 2))]);
        expect(mergeSummaries(daemons)).toMatchObject({ daemons: 4, failureDomains: expected });
        expect(nested).toEqual(mergeSummaries(daemons));
    });

    it("keep the totals of a sender that reports no failure domains", () => {
        const older: MeshSummary = { ...EMPTY_SUMMARY, daemons: 1, versions: [{ daemons: 1, version: 7 }] };
        expect(mergeSummaries([older, createDaemonSummary("erie-b", 7)])).toMatchObject({
            daemons: 2,
            failureDomains: [{ daemons: 1, failureDomain: "erie-b" }],
        });
    });
});

// Guards against counting unavailable servers as live, and against durations that reflect clock differences.
describe("region status", () => {
    it("lists services by missing servers, where servers that leave or are cut off don't count as live", () => {
        const members = [
            createMember("a", "erie-a", "live"),
            createMember("b", "erie-a", "leaving"),
            createMember("c", "erie-b", "live"),
        ];
        const status = createRegionStatus(
            EMPTY_SUMMARY,
            createView({ ledger: 3, swatches: 4, idle: 0 }, members),
            [],
            0,
        );
        expect(status.scarceServices).toEqual([
            { live: 0, planned: 4, service: "swatches" },
            { live: 1, planned: 3, service: "ledger" },
        ]);
    });

    it("reports for how long failure domains are cut off, in whole seconds", () => {
        const cutOff = [{ domain: "erie-b", since: 10_300 }];
        expect(createRegionStatus(EMPTY_SUMMARY, createView({}, []), cutOff, 12_900).cutOff).toEqual([
            { failureDomain: "erie-b", forMs: 2_000 },
        ]);
    });
});
