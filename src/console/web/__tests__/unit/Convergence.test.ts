import { describe, expect, it } from "vitest";
import { parseRegionStatus } from "../../ports/index.js";
import { startClient } from "../fixtures/ConsoleClient.js";

/** Builds the value of a status object as relays write it. */
function buildStatus(changes: object): string {
    return JSON.stringify({
        controlBytes: 48_200,
        controlBytesAcrossRegions: 3_100,
        cutOff: [{ failureDomain: "superior-b", forMs: 30_000 }],
        daemons: 13,
        failureDomains: [
            { daemons: 4, failureDomain: "erie-a", versions: [{ daemons: 4, version: 1 }] },
            { daemons: 3, failureDomain: "erie-b", versions: [{ daemons: 3, version: 1 }] },
            {
                daemons: 3,
                failureDomain: "superior-a",
                versions: [{ daemons: 1, version: 1 }, { daemons: 2, version: 0 }],
            },
            { daemons: 3, failureDomain: "superior-b", versions: [] },
        ],
        scarceServices: [{ live: 2, planned: 4, service: "ledger" }],
        unsettled: 2,
        versions: [{ daemons: 8, version: 1 }, { daemons: 5, version: 0 }],
        waiting: [{ daemons: 2, reason: "superior-a: service workroom has announced no backend server" }],
        ...changes,
    });
}

/** Reads the text of the convergence fragment as an operator sees it. */
async function readLive(statuses: Readonly<Record<string, string>>): Promise<string> {
    const client = await startClient();
    client.configuration.statuses = Object.entries(statuses).flatMap(([region, value]) => {
        const status = parseRegionStatus(value);
        return status === undefined ? [] : [{ region, status }];
    });
    const { text } = await client.get("/convergence");
    return text.replaceAll(/<[^>]*>/g, " ").replaceAll(/\s+/g, " ");
}

// Guards against figures from a region that is cut off, and against missing reports shown as zero.
describe("convergence page", () => {
    it("shows shares by region and failure domain, age, bytes, waiting reasons, scarce services and cut-off domains", async () => {
        const text = await readLive({ erie: buildStatus({}) });
        expect(text).toContain("Version 1 is in force on 8 of 13 daemons.");
        expect(text).toContain("1 min 30 s ago by marta: first document");
        expect(text).toContain("48.2 KB, of which 3.1 KB between regions");
        expect(text).toContain("erie 100% 7 of 7 erie-a 100% 4 of 4 erie-b 100% 3 of 3");
        expect(text).toContain("superior 16% 1 of 6 superior-a 33% 1 of 3 superior-b 0% 0 of 3 cut off for 30 s");
        expect(text).toContain("2 daemons have just started");
        expect(text).toContain("superior-a: service workroom has announced no backend server (2 daemons)");
        expect(text).toContain("ledger : 2 live of 4 planned");
    });

    it("uses the report with the most daemons while a region is cut off", async () => {
        const text = await readLive({
            erie: buildStatus({}),
            superior: buildStatus({ daemons: 3, versions: [{ daemons: 3, version: 1 }] }),
        });
        expect(text).toContain("in force on 8 of 13 daemons");
    });

    it("shows what is not reported when a status is absent, malformed or without failure domains", async () => {
        expect(await readLive({})).toContain("No relay has reported daemons yet.");
        expect(await readLive({ erie: "cut off{" })).toContain("No relay has reported daemons yet.");
        const text = await readLive({ erie: buildStatus({ failureDomains: undefined, scarceServices: undefined }) });
        expect(text).toContain("in force on 8 of 13 daemons");
        expect(text).toContain("erie-a not reported");
    });
});
