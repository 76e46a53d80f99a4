/** Values of a daemon's parts that its metrics show. */
import type { DecisionAges, VersionLag } from "../../coordination/distribution/index.js";
import type { ConfigurationManager, MemberRegistry } from "../directory/index.js";
import type { CostlyReads } from "../input/index.js";
import { DropMoment } from "../ownership/index.js";
import type { AdmissionController } from "../ownership/index.js";
import type { QuarantineManager } from "../quarantine/index.js";
import type { QuotaManager } from "../quotas/index.js";
import type { RolloutManager } from "../rollouts/index.js";
import type { RouteQueries, RouteResolver } from "../routes/index.js";
import type { SessionManager } from "../sessions/index.js";
import { listTenantCounters } from "../tenants/index.js";
import type { TenantMetrics } from "../tenants/index.js";
import type { HedgeManager } from "../traffic/index.js";
import type { UplinkSender } from "../uplink/index.js";
import type { DelayMonitor } from "./DelayMonitor.js";
import type { Gauge } from "./MetricsText.js";
import type { OverloadMonitor } from "./OverloadMonitor.js";
import type { SessionSelector } from "./SessionSelector.js";

export interface GaugeSources {
    readonly admission: AdmissionController;
    readonly costlyReads: CostlyReads;
    readonly configurationManager: ConfigurationManager;
    readonly decisionAges: DecisionAges;
    readonly delays: DelayMonitor;
    readonly hedging: HedgeManager;
    readonly lag: VersionLag;
    readonly memberRegistry: MemberRegistry;
    readonly now: () => number;
    readonly overload: OverloadMonitor;
    readonly quarantine: QuarantineManager;
    /** Undefined where there are no roll-outs. */
    readonly rollouts: RolloutManager | undefined;
    readonly quotas: QuotaManager | undefined;
    readonly routeQueries: RouteQueries;
    readonly routeResolver: RouteResolver;
    readonly sessionSelector: SessionSelector;
    readonly sessions: SessionManager;
    readonly tenantMetrics: TenantMetrics;
    readonly uplink: UplinkSender;
    countReachable(): number;
    readDroppedLines(): number;
    /** Bytes of the store's answers since the start. */
    readStoreBytes(): number;
}

const MS_PER_SECOND = 1_000;

export function listGauges(sources: GaugeSources): readonly Gauge[] {
    return [
        ...listServerGauges(sources),
        ...listConfigurationGauges(sources),
        ...listMeshGauges(sources),
        ...listLinkGauges(sources),
        ...listRolloutGauges(sources),
        ...listTenantCounters(sources.tenantMetrics),
        ...listQuotaGauges(sources.quotas),
    ];
}

function listServerGauges({ admission, hedging, quarantine }: GaugeSources): readonly Gauge[] {
    const load = () => admission.readLoad();
    return [
        { name: "server_running", read: () => load().running },
        { name: "server_queued", read: () => load().queued },
        { name: "server_open", read: () => Number(load().isOpen) },
        { name: "server_link_wait_seconds", read: () => (load().link?.waitMs ?? 0) / MS_PER_SECOND },
        { name: "server_limit_per_second", read: () => load().limitPerSecond ?? Infinity },
        ...Object.values(DropMoment).map(moment => ({
            name: `server_answers_dropped_total{moment="${moment}"}`,
            read: () => admission.secondAnswers.countDropped(moment),
        })),
        { name: "server_repeated_requests_total", read: () => admission.secondAnswers.repeats },
        { name: "quarantined_requests", read: () => quarantine.listQuarantines().length },
        { name: "hedge_share", read: () => hedging.share },
        { name: "hedge_tokens", read: () => hedging.readTokens() },
        { name: "crash_suspects", read: () => quarantine.suspectCount },
    ];
}

function listConfigurationGauges(
    { configurationManager, decisionAges, lag, now, routeQueries, routeResolver }: GaugeSources,
): readonly Gauge[] {
    const { copies } = configurationManager;
    return [
        { name: "configuration_version", read: () => lag.own ?? NaN },
        { name: "configuration_newest_known_version", read: () => lag.newestKnown ?? NaN },
        { name: "configuration_behind_seconds", read: () => (lag.readBehindMs(now()) ?? 0) / MS_PER_SECOND },
        {
            name: "configuration_confirmed_age_seconds",
            read: () => configurationManager.readConfirmedAgeMs() / MS_PER_SECOND,
        },
        { name: "configuration_revision", read: () => configurationManager.text?.revision ?? 0 },
        { name: "configuration_findings_total", read: () => configurationManager.findings.count },
        { name: "configuration_copies_sent_total", read: () => copies.sentCopies.count },
        { name: "configuration_differences_sent_total", read: () => copies.sentDifferences },
        { name: "configuration_copy_bytes_sent_total", read: () => copies.sentCopies.bytes },
        { name: "configuration_requests_ignored_total", read: () => copies.ignoredRequests },
        { name: "route_queries_sent_total", read: () => routeQueries.sentQueries },
        { name: "requests_without_current_route_total", read: () => routeResolver.unresolvedRequests },
        ...decisionAges.list().map(({ decisions, upToShare }) => ({
            name: `route_decisions_total{age="${Number.isFinite(upToShare) ? upToShare : "more"}"}`,
            read: () => decisions,
        })),
    ];
}

function listMeshGauges(
    {
        costlyReads,
        countReachable,
        delays,
        memberRegistry,
        overload,
        readDroppedLines,
        sessionSelector,
        sessions,
    }: GaugeSources,
): readonly Gauge[] {
    return [
        { name: "longest_round_trip_seconds", read: () => delays.takeLongestRoundTrip() / MS_PER_SECOND },
        { name: "lost_time_seconds_total", read: () => delays.lostMs / MS_PER_SECOND },
        { name: "longest_timer_delay_seconds", read: () => delays.takeLongestDelay() / MS_PER_SECOND },
        { name: "overloaded_seconds_total", read: () => overload.overloadedMs / MS_PER_SECOND },
        { name: "waiting_connection_resets_total", read: () => overload.resets },
        { name: "costly_input_seconds_total", read: () => costlyReads.totalWorkMs / MS_PER_SECOND },
        { name: "costly_input_waiting", read: () => costlyReads.waiting },
        { name: "members", read: () => memberRegistry.list().length },
        { name: "member_registered", read: () => Number(memberRegistry.isRegistered) },
        { name: "members_connected", read: countReachable },
        { name: "sessions_open", read: () => [...sessions.listOwnerSessions()].length },
        { name: "session_buffered_bytes", read: () => sessions.countBufferedBytes() },
        { name: "neighbours", read: () => sessionSelector.neighbours.size },
        { name: "log_lines_dropped_total", read: readDroppedLines },
    ];
}

function listRolloutGauges({ rollouts }: GaugeSources): readonly Gauge[] {
    return rollouts === undefined ? [] : [
        { name: "rollouts_running", read: () => rollouts.summarize().running },
        { name: "rollout_gate_closed", read: () => Number(rollouts.gate.isHeld) },
        { name: "rollout_order_watched", read: () => Number(rollouts.isWatching) },
        { name: "rollout_requests", read: () => rollouts.summarize().sent },
        { name: "rollout_candidate_requests", read: () => rollouts.summarize().sentToCandidates },
    ];
}

function listLinkGauges({ readStoreBytes, uplink }: GaugeSources): readonly Gauge[] {
    return [
        { name: "uplink_waiting_bytes", read: () => uplink.waitingBytes },
        { name: "link_bytes_total{direction=\"in\",kind=\"store\"}", read: readStoreBytes },
        ...uplink.traffic.list().map(({ bytes, direction, kind }) => ({
            name: `link_bytes_total{direction="${direction}",kind="${kind}"}`,
            read: () => bytes,
        })),
    ];
}

function listQuotaGauges(quotas: QuotaManager | undefined): readonly Gauge[] {
    return quotas === undefined ? [] : [
        { name: "quota_limited_tenants", read: () => quotas.limitedTenants },
        { name: "quota_lent_share", read: () => quotas.readLentShare() },
        { name: "quota_requests_total{result=\"served\"}", read: () => quotas.totals.served },
        { name: "quota_requests_total{result=\"refused\"}", read: () => quotas.totals.refused },
        { name: "quota_demands_sent_total", read: () => quotas.totals.demands },
        { name: "quota_grants_sent_total", read: () => quotas.totals.grants },
    ];
}
