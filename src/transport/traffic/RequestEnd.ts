/** Builds the record of a finished request, for metrics and the access log. */
import type { RequestRecord } from "../../coordination/recording/index.js";
import type { Dialect } from "../../protocol/dialect/index.js";
import { Outcome } from "../../protocol/request/index.js";
import type { AnswerHead } from "../ownership/index.js";
import type { ForwardingPlan } from "./ForwardingPlan.js";
import type { RequestAttempts } from "./RequestAttempts.js";

/** How a request reached its server. */
export const Hop = { Local: "local", Relayed: "relayed" } as const;
/** Lowest status by which a server says that it has failed. */
export const FIRST_SERVER_FAILURE = 500;

/** Characters of a signature that are logged; a server may send one of any length. */
const LOGGED_SIGNATURE_LENGTH = 128;

export interface RequestEnd {
    /** Why the request was not answered normally; empty otherwise. */
    readonly detail: string;
    /** Of the last answer of a server; undefined when there was none. */
    readonly head: AnswerHead | undefined;
    readonly hop: string | undefined;
    readonly latencyMs: number;
    readonly outcome: Outcome;
    /** Id of the owner whose answer was passed on. */
    readonly server: string | undefined;
    readonly status: number;
}

export function buildRequestRecord(
    plan: ForwardingPlan,
    attempts: RequestAttempts,
    dialect: Dialect,
    { head, ...end }: RequestEnd,
): RequestRecord {
    const { method, requestId, route, service, target } = plan;
    const isPassedOn = end.server !== undefined && head !== undefined;
    return {
        ...end,
        attempts: attempts.placementCount,
        class: route.name,
        confirmedAgeMs: plan.confirmedAgeMs,
        detail: end.detail === "" ? undefined : end.detail,
        method,
        path: target,
        placements: attempts.history.read(end.status < FIRST_SERVER_FAILURE && end.outcome === Outcome.Answered),
        queuedMs: head?.queuedMs ?? 0,
        requestId,
        revision: plan.revision,
        route: route.name,
        service,
        signature: isPassedOn ? dialect.findSignature(head.headers)?.slice(0, LOGGED_SIGNATURE_LENGTH) : undefined,
        tenant: plan.tenant?.name,
        version: plan.version,
    };
}

/** Runs an action that writes an answer; returns why it can't be written, so that no caller is left without one. */
export function findFault(write: () => void): string | undefined {
    try {
        write();
        return undefined;
    }
    catch (error) {
        return `the answer can't be written: ${(error as Error).message}`;
    }
}
