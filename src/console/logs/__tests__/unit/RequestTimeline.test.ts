import { describe, expect, it } from "vitest";
import { collectTimeline, formatTimeline, parseLogLine } from "../../index.js";
import type { LogLine, RequestTimeline } from "../../index.js";

function createLine(second: number, daemon: string, msg: string, fields: Record<string, unknown> = {}): LogLine {
    return { daemon, msg, time: `2026-12-04T10:00:${String(second).padStart(2, "0")}.000Z`, ...fields };
}

const END = createLine(20, "entry", "requests: POST /pay/ ended as unknown.", {
    detail: "read ECONNRESET",
    latencyMs: 900,
    placements: [{
        cause: "first",
        end: "read ECONNRESET",
        expectedMs: 40,
        loadAgeMs: 12,
        queued: 0,
        running: 3,
        server: "owner",
    }],
    queuedMs: 5,
    requestId: "r-1",
    revision: 17,
    server: undefined,
    status: 502,
    version: 4,
});

const LINES = [
    END,
    createLine(2, "entry", "configuration: version 4 is in force.", { revision: 17 }),
    createLine(1, "entry", "configuration: version 3 is in force.", { revision: 12 }),
    createLine(10, "owner", "gate: server i-1 is ready."),
    createLine(19, "owner", "gate: server can't be reached: connect ECONNREFUSED."),
    createLine(19, "other", "gate: server i-7 is leaving."),
    createLine(18, "entry", "sessions: owner can't be reached: read ECONNRESET."),
    createLine(25, "owner", "gate: server i-2 is ready."),
    createLine(19, "owner", "requests: GET /stock/ ended as answered.", { requestId: "r-2" }),
];

const EMPTY: RequestTimeline = { around: [], configuration: undefined, crashes: [], own: [] };

// Guards against a timeline that omits the cause of an outcome, or shows lines that have nothing to do with it.
describe("request timeline", () => {
    it("shows the lines of the request, recent context lines of the daemons involved and the version in force", () => {
        expect(formatTimeline(collectTimeline(LINES, "r-1") ?? EMPTY))
            .toEqual([
                "2026-12-04T10:00:02.000Z entry configuration: version 4 is in force.",
                "2026-12-04T10:00:18.000Z entry sessions: owner can't be reached: read ECONNRESET.",
                "2026-12-04T10:00:19.000Z owner gate: server can't be reached: connect ECONNREFUSED.",
                "2026-12-04T10:00:20.000Z entry requests: POST /pay/ ended as unknown. Status 502: read ECONNRESET; 900 ms, 5 ms of"
                + " them waiting for a slot; version 4, revision 17.",
                "  placed at owner (first): 40 ms expected, 3 running and 0 waiting 12 ms before; read ECONNRESET",
            ]);
    });

    it("shows missing fields of a line as unknown instead of zero", () => {
        const line = createLine(5, "entry", "requests: GET /a/ ended as not-run.", { requestId: "r-3", status: 503 });
        expect(formatTimeline(collectTimeline([line], "r-3") ?? EMPTY))
            .toEqual([
                "2026-12-04T10:00:05.000Z entry requests: GET /a/ ended as not-run. Status 503; ? ms, ? ms of them waiting for a"
                + " slot; revision ?.",
            ]);
    });

    it("shows the crashes for which a request was rejected, however long before they were", () => {
        const fingerprint = "0abc123ABCDEFGHIJKLMN_-";
        const detail = `request ${fingerprint} is quarantined: 3 servers have ended under it`;
        const crash = createLine(1, "far", "quarantine: server far/i-1/9 has ended with 1 requests running.", {
            requests: [{ fingerprint, requestId: "r-0" }],
        });
        const lines = [
            crash,
            createLine(2, "far", "quarantine: request 1abc123ABCDEFGHIJKLMN_- is quarantined."),
            createLine(20, "entry", "requests: GET /a/ ended as not-run.", { detail, requestId: "r-4", status: 400 }),
        ];
        expect(collectTimeline(lines, "r-4")?.crashes).toEqual([crash]);
        expect(formatTimeline(collectTimeline(lines, "r-4") ?? EMPTY)[0]).toContain(crash.msg);
    });

    it("is undefined when no line names the request", () => {
        expect(collectTimeline(LINES, "r-9")).toBeUndefined();
    });
});

// Guards against a truncated or foreign line that makes a whole log unreadable.
describe("parseLogLine", () => {
    it("returns undefined for truncated lines and lines of other programs", () => {
        expect(parseLogLine(JSON.stringify(END))?.msg).toBe(END.msg);
        for (const text of ["", "{\"daemon\":\"a\",\"ti", "[]", "null", "{\"msg\":1}", "Killed"]) {
            expect(parseLogLine(text)).toBeUndefined();
        }
    });
});
