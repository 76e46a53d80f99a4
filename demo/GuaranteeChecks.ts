/** Checks the demo's observations against the guarantees P1 to P9 of the design page. */
import { checkAnswer } from "../standins/backend/index.js";
import type { RequestResult } from "./LoadGenerator.js";

/** Bound of P7: a leaving server gets no new work after this time. */
export const LEAVING_BOUND_MS = 3000;

/** One execution of a request as a backend server reported it. */
export interface ObservedExecution {
    readonly server: string;
    readonly time: number;
    readonly tag: string | undefined;
    readonly idempotencyKey: string | undefined;
}

/** The in-force version of a daemon at one moment; undefined before it has one. */
export interface ObservedVersion {
    readonly daemon: string;
    readonly version: number | undefined;
    /** Root hash of the version. */
    readonly root: string | undefined;
}

/** A planned stop of a backend server or its daemon, from the signal to the end of the process. */
export interface ObservedDrain {
    /** Id of the node whose server takes no new work. */
    readonly server: string;
    readonly startedAt: number;
    readonly endedAt: number;
    /** Whether the process exited with code 0. */
    readonly exitedCleanly: boolean;
}

export interface Observations {
    readonly results: readonly RequestResult[];
    readonly executions: readonly ObservedExecution[];
    /** In the order of observation. */
    readonly versions: readonly ObservedVersion[];
    readonly drains: readonly ObservedDrain[];
    /** Number of the last accepted version. */
    readonly lastAccepted: number;
    readonly daemons: readonly string[];
    /** One message for each route in force whose service a daemon does not know. */
    readonly danglingRoutes: readonly string[];
}

export interface CheckResult {
    readonly guarantee: string;
    readonly description: string;
    /** Number of cases checked; 0 shows that nothing was verified. */
    readonly cases: number;
    readonly violations: readonly string[];
}

/** Whether a request was answered, or refused as not run where that is expected. */
export function isAsExpected(result: RequestResult): boolean {
    return result.planned.isRefusalExpected
        ? result.failure === undefined && result.outcome === "not-run"
        : isAnswered(result);
}

export function isAnswered(result: RequestResult): boolean {
    return result.failure === undefined && result.status === 200;
}

/** Lists the idempotency keys that were executed more than once over all servers. */
export function collectKeysRunTwice(executions: readonly ObservedExecution[]): readonly string[] {
    const counts = new Map<string, number>();
    for (const { idempotencyKey } of executions) {
        if (idempotencyKey !== undefined) {
            counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
        }
    }
    return [...counts].filter(([, count]) => count > 1).map(([key]) => key);
}

function checkMonotonicVersions({ versions }: Observations): CheckResult {
    const highest = new Map<string, number>();
    const violations: string[] = [];
    for (const { daemon, version } of versions) {
        const previous = highest.get(daemon);
        // A restarted daemon has no version, and proxies no requests, until it has settled.
        if (version === undefined) {
            continue;
        }
        if (previous !== undefined && version < previous) {
            violations.push(`${daemon} went from version ${previous} to ${version}`);
        }
        highest.set(daemon, Math.max(previous ?? 0, version));
    }
    return { cases: versions.length, description: "versions never went back", guarantee: "P1", violations };
}

function checkRouteTargets({ danglingRoutes, daemons }: Observations): CheckResult {
    return {
        cases: daemons.length,
        description: "no route points at a missing service",
        guarantee: "P2",
        violations: danglingRoutes,
    };
}

/** A partially applied version would have another root hash than the same version on other daemons. */
function checkVersionConsistency({ versions }: Observations): CheckResult {
    const roots = new Map<number, Set<string | undefined>>();
    for (const { version, root } of versions) {
        if (version !== undefined) {
            roots.set(version, (roots.get(version) ?? new Set()).add(root));
        }
    }
    const violations = [...roots].filter(([, seen]) => seen.size > 1 || seen.has(undefined))
        .map(([version, seen]) => `version ${version} has the roots ${[...seen].join(", ")}`);
    return { cases: roots.size, description: "a version is the same everywhere", guarantee: "P3", violations };
}

function checkInForce({ versions, daemons, lastAccepted }: Observations): CheckResult {
    const last = new Map(versions.map(({ daemon, version }) => [daemon, version]));
    const violations = daemons.filter(daemon => last.get(daemon) !== lastAccepted)
        .map(daemon => `${daemon} has version ${last.get(daemon) ?? "none"}, accepted is ${lastAccepted}`);
    return { cases: daemons.length, description: "the accepted version is in force", guarantee: "P9", violations };
}

/** A replayed answer carries the tag of an earlier request with its key, so any tag of that key is valid. */
function checkAnswerIntegrity({ results }: Observations): CheckResult {
    const tagsByKey = new Map<string, string[]>();
    for (const { planned: { idempotencyKey, tag } } of results) {
        if (idempotencyKey !== undefined) {
            tagsByKey.set(idempotencyKey, [...tagsByKey.get(idempotencyKey) ?? [], tag]);
        }
    }
    const answered = results.filter(isAnswered);
    const violations = answered.flatMap(({ body, contentHash, outcome, planned }) => {
        const tags = outcome === "replayed" ? tagsByKey.get(planned.idempotencyKey ?? "") ?? [] : [planned.tag];
        const faults = tags.map(tag => checkAnswer(body, contentHash, tag));
        return faults.includes(undefined) ? [] : [`${planned.tag}: ${faults[0] ?? "no request has this key"}`];
    });
    const cut = results.filter(result => result.failure !== undefined && result.status !== undefined)
        .map(result => `${result.planned.tag}: ${result.failure ?? ""}`);
    return {
        cases: answered.length,
        description: "answers are whole and the caller's own",
        guarantee: "P4",
        violations: [...violations, ...cut],
    };
}

function checkNotRun({ results, executions }: Observations): CheckResult {
    const ran = new Set(executions.map(execution => execution.tag));
    const notRun = results.filter(result => result.outcome === "not-run");
    return {
        cases: notRun.length,
        description: "what was reported as not run did not run",
        guarantee: "P5",
        violations: notRun.filter(({ planned }) => ran.has(planned.tag)).map(({ planned }) => planned.tag),
    };
}

function checkAtMostOnce({ executions }: Observations): CheckResult {
    return {
        cases: executions.filter(execution => execution.idempotencyKey !== undefined).length,
        description: "no key ran twice",
        guarantee: "P6",
        violations: collectKeysRunTwice(executions),
    };
}

function checkNoWorkAfterLeaving({ drains, executions }: Observations): CheckResult {
    const violations = drains.flatMap(({ startedAt, endedAt, server }) =>
        executions.filter(execution =>
            execution.server === server && execution.time > startedAt + LEAVING_BOUND_MS && execution.time <= endedAt
        )
            .map(execution =>
                `${server} began ${execution.tag ?? "a request"} ${execution.time - startedAt} ms after leaving`
            )
    );
    return { cases: drains.length, description: "a leaving server got no new work", guarantee: "P7", violations };
}

function checkDrains({ drains, results }: Observations): CheckResult {
    const violations = drains.flatMap(drain => {
        const cut = results.filter(result =>
            result.endedAt >= drain.startedAt && result.sentAt <= drain.endedAt && !isAsExpected(result)
        );
        const reports = cut.map(({ planned, status, outcome, failure }) =>
            `${planned.tag} during the drain of ${drain.server}: ${failure ?? `${status ?? ""} ${outcome ?? ""}`}`
        );
        return drain.exitedCleanly ? reports : [...reports, `${drain.server} did not end by itself`];
    });
    return { cases: drains.length, description: "a planned stop cut no request", guarantee: "P8", violations };
}

/** Runs every check. */
export function checkGuarantees(observations: Observations): readonly CheckResult[] {
    return [
        checkMonotonicVersions,
        checkRouteTargets,
        checkVersionConsistency,
        checkAnswerIntegrity,
        checkNotRun,
        checkAtMostOnce,
        checkNoWorkAfterLeaving,
        checkDrains,
        checkInForce,
    ].map(check => check(observations));
}
