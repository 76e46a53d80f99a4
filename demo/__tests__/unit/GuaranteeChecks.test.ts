import { createHash } from "node:crypto";
import { expect, test } from "vitest";
import type { Observations } from "../../GuaranteeChecks.js";
import { checkGuarantees } from "../../GuaranteeChecks.js";
import type { RequestResult } from "../../LoadGenerator.js";

function buildResult(tag: string, changes: Partial<RequestResult> = {}): RequestResult {
    const body = Buffer.from(`${JSON.stringify({ tag })}\nx`);
    return {
        body,
        contentHash: createHash("sha256").update(body).digest("hex"),
        daemonPort: 1,
        endedAt: 110,
        failure: undefined,
        outcome: "answered",
        planned: {
            body: undefined,
            class: "families",
            host: undefined,
            idempotencyKey: `key-of-${tag}`,
            isRefusalExpected: false,
            method: "GET",
            path: "/",
            route: "deposit",
            tag,
        },
        sentAt: 100,
        status: 200,
        ...changes,
    };
}

/** Builds observations that violate no guarantee, but for `changes`. */
function buildObservations(changes: Partial<Observations> = {}): Observations {
    return {
        daemons: ["a", "b"],
        danglingRoutes: [],
        drains: [{ startedAt: 1000, exitedCleanly: true, endedAt: 5000, server: "s" }],
        lastAccepted: 2,
        results: [buildResult("r1")],
        executions: [{ idempotencyKey: "key-of-r1", server: "s", tag: "r1", time: 105 }],
        versions: [
            { daemon: "a", root: undefined, version: undefined },
            { daemon: "a", root: undefined, version: undefined },
            { daemon: "a", root: "x", version: 1 },
            { daemon: "a", root: "y", version: 2 },
            { daemon: "b", root: "y", version: 2 },
        ],
        ...changes,
    };
}

function listViolatedGuarantees(changes: Partial<Observations>): readonly string[] {
    return checkGuarantees(buildObservations(changes)).filter(check => check.violations.length > 0)
        .map(check => check.guarantee);
}

// Guards against a check that cannot fail and would hide a violation.
test("each violation is reported by the check of its guarantee, and none without a violation", () => {
    const drained = buildResult("r1", { endedAt: 1100, status: 503 });
    const late = { idempotencyKey: undefined, server: "s", tag: "r9", time: 4001 };
    const [run] = buildObservations().executions;
    expect(listViolatedGuarantees({})).toEqual([]);
    expect(
        listViolatedGuarantees({ versions: [...buildObservations().versions, { daemon: "a", root: "x", version: 1 }] }),
    )
        .toEqual(["P1", "P9"]);
    expect(listViolatedGuarantees({ danglingRoutes: ["a: route x"] })).toEqual(["P2"]);
    expect(
        listViolatedGuarantees({ versions: [...buildObservations().versions, { daemon: "b", root: "z", version: 2 }] }),
    )
        .toEqual(["P3"]);
    expect(listViolatedGuarantees({ results: [buildResult("r1", { body: Buffer.from("cut") })] })).toEqual(["P4"]);
    expect(listViolatedGuarantees({ results: [buildResult("r1", { failure: "closed" })] })).toEqual(["P4"]);
    expect(listViolatedGuarantees({ results: [buildResult("r1", { outcome: "not-run", status: 503 })] })).toEqual([
        "P5",
    ]);
    expect(listViolatedGuarantees({ executions: run === undefined ? [] : [run, { ...run, tag: "r2" }] })).toEqual([
        "P6",
    ]);
    expect(listViolatedGuarantees({ executions: [late] })).toEqual(["P7"]);
    expect(listViolatedGuarantees({ results: [drained] })).toEqual(["P8"]);
    expect(listViolatedGuarantees({ drains: [{ startedAt: 1000, exitedCleanly: false, endedAt: 5000, server: "s" }] }))
        .toEqual(["P8"]);
    expect(listViolatedGuarantees({ lastAccepted: 3 })).toEqual(["P9"]);
});

// Guards against a false violation of P4: a replayed answer carries the tag of the first request with its key.
test("P4 accepts the first request's tag in a replayed answer, and reports it in any other answer", () => {
    const first = buildResult("r1");
    const replayed = { ...first, outcome: "replayed", planned: { ...first.planned, tag: "r2" } };
    expect(listViolatedGuarantees({ results: [first, replayed] })).toEqual([]);
    expect(listViolatedGuarantees({ results: [first, { ...replayed, outcome: "answered" }] })).toEqual(["P4"]);
});
