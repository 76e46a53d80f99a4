/** Calls of operators and their tools: metrics, requests in quarantine, and roll-outs. */
import type { QuarantineManager } from "../quarantine/index.js";
import type { RolloutManager } from "../rollouts/index.js";
import type { ReportedTenant } from "../tenants/index.js";
import type { EndpointAnswer, EndpointHandler } from "./HttpEndpoint.js";

const QUARANTINE_PATH = "/quarantine";
const ROLLOUTS_PATH = "/rollouts";
const TENANTS_PATH = "/tenants";
const RELEASE_PATTERN = /^\/quarantine\/([A-Za-z0-9_-]{1,64})\/release$/;
const JSON_TYPE = "application/json";
const MS_PER_SECOND = 1_000;

/**
 * Answers `GET /tenants`, a list of tenants with their numbers of keys; `GET /quarantine`, a list of `{fingerprint,
 * servers, ageS}`, and `POST /quarantine/<fingerprint>/release`, which lets the request run again at all daemons; `GET
 * /rollouts`, where there are any, what is known of each order. Any other GET is answered with the metrics.
 */
export function answerOperator(
    quarantine: QuarantineManager,
    renderMetrics: () => string,
    now: () => number,
    listTenants: () => readonly ReportedTenant[],
    rollouts?: Pick<RolloutManager, "list">,
): EndpointHandler {
    return ({ method, path }): EndpointAnswer => {
        if (method === "POST") {
            const fingerprint = RELEASE_PATTERN.exec(path)?.[1];
            const isReleased = fingerprint !== undefined && quarantine.release(fingerprint);
            return buildJson(isReleased ? 200 : 404, { isReleased });
        }
        if (path === TENANTS_PATH) {
            return buildJson(200, listTenants());
        }
        if (path === QUARANTINE_PATH) {
            const quarantined = quarantine.listQuarantines().map(({ at, crashIds, fingerprint }) => ({
                ageS: (now() - at) / MS_PER_SECOND,
                fingerprint,
                servers: crashIds,
            }));
            return buildJson(200, quarantined);
        }
        if (path === ROLLOUTS_PATH && rollouts !== undefined) {
            return buildJson(200, rollouts.list());
        }
        return { body: renderMetrics(), contentType: "text/plain; version=0.0.4", status: 200 };
    };
}

function buildJson(status: number, body: unknown): EndpointAnswer {
    return { body: JSON.stringify(body), contentType: JSON_TYPE, status };
}
