/** Calls of operators and their tools: metrics, requests in quarantine, limits of tenants, and roll-outs. */
import type { QuarantineManager } from "../quarantine/index.js";
import type { QuotaManager, QuotaReport } from "../quotas/index.js";
import type { RolloutManager } from "../rollouts/index.js";
import type { ReportedTenant } from "../tenants/index.js";
import type { EndpointAnswer, EndpointHandler } from "./HttpEndpoint.js";

const QUARANTINE_PATH = "/quarantine";
const QUOTAS_PATH = "/quotas";
const ROLLOUTS_PATH = "/rollouts";
const TENANTS_PATH = "/tenants";
const RELEASE_PATTERN = /^\/quarantine\/([A-Za-z0-9_-]{1,64})\/release$/;
const JSON_TYPE = "application/json";
const MS_PER_SECOND = 1_000;

/**
 * Answers `GET /tenants`, a list of tenants with their numbers of keys; `GET /quarantine`, a list of `{fingerprint,
 * servers, ageS}`, and `POST /quarantine/<fingerprint>/release`, which lets the request run again at all daemons; `GET
 * /rollouts`, where there are any, what is known of each order; `GET /quotas`, where the daemon applies them, the limits of
 * tenants and their use. Any other GET is answered with the metrics.
 */
export function answerOperator(
    quarantine: QuarantineManager,
    quotas: QuotaManager | undefined,
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
        if (path === QUOTAS_PATH && quotas !== undefined) {
            return buildJson(200, summarizeQuotas(quotas.describe()));
        }
        return { body: renderMetrics(), contentType: "text/plain; version=0.0.4", status: 200 };
    };
}

function summarizeQuotas({ allocator, isOwnShareUsed, lentShare, tenants, windowMs }: QuotaReport): object {
    return {
        allocator,
        isOwnShareUsed,
        lentShare,
        tenants: tenants.map(({ demandPerSecond, limit, quota, refused, served, shares, used }) => ({
            burst: limit.burst,
            demandPerS: demandPerSecond,
            quota,
            ratePerS: limit.ratePerSecond,
            refused,
            served,
            shares: shares.map(share => ({ daemon: share.id, quota: share.quota })),
            tenant: limit.name,
            used,
        })),
        windowS: windowMs / MS_PER_SECOND,
    };
}

function buildJson(status: number, body: unknown): EndpointAnswer {
    return { body: JSON.stringify(body), contentType: JSON_TYPE, status };
}
