import type { RequestRecord } from "../../../../coordination/recording/index.js";

import { Writable } from "node:stream";
import { expect, test } from "vitest";
import { createAccessLog, createLogger, parseLogLevel } from "../../index.js";

function createOutput() {
    const lines: Record<string, unknown>[] = [];
    const output = new Writable({
        write: (chunk: Buffer, _encoding, done) => {
            lines.push(JSON.parse(chunk.toString()) as Record<string, unknown>);
            done();
        },
    });
    return { lines, output };
}

function createRecord(): RequestRecord {
    return {
        requestId: "r1",
        method: "POST",
        path: "/deposits/100%25",
        route: "deposits",
        service: "ledger",
        class: "families",
        status: 201,
        outcome: "answered",
        attempts: 2,
        confirmedAgeMs: 1_899.6,
        hop: "relayed",
        server: "erie-a-2",
        latencyMs: 4.123456,
        queuedMs: 0,
    };
}

// Guards against lines without their prefix, levels that are ignored, fields that replace bunyan's
// own, and a path that is interpreted as a format string.
test("lines have their prefix and fields, and lines below the level are not written", () => {
    const { lines, output } = createOutput();
    const log = createLogger({ name: "papayaturn-daemon", level: "info", fields: { daemon: "erie-a-1" }, output });
    log("peer").info("connected to erie-a-2.", { name: "erie-a-2", cause: new Error("late") });
    log("peer").debug("sent a digest.");
    createAccessLog(log("request")).record(createRecord());
    createAccessLog(log("request")).count({ kind: "retried", reason: "closed", service: "ledger", class: undefined });
    expect(lines).toMatchObject([
        { name: "papayaturn-daemon", daemon: "erie-a-1", msg: "peer: connected to erie-a-2.", name_: "erie-a-2" },
        {
            msg: "request: POST /deposits/100%25 ended as answered.",
            attempts: 2,
            confirmedAgeMs: 1_900,
            latencyMs: 4.123,
            requestId: "r1",
        },
    ]);
    expect(lines[0]?.["cause"]).toMatchObject({ message: "late" });
    expect(lines).toHaveLength(2);
});

// Guards against a misspelt level that silently selects another one.
test("a known level is parsed, and an unknown one gives undefined", () => {
    expect(parseLogLevel("warn")).toBe("warn");
    expect(parseLogLevel("verbose")).toBeUndefined();
});
