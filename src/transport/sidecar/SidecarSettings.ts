/** Settings of a daemon on a platform that starts it beside a backend server and keeps its configuration. */
import type { ArgsDef } from "citty";
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import { deriveFreshnessLimits } from "../../coordination/distribution/index.js";
import type { FreshnessLimits } from "../../coordination/distribution/index.js";
import type { LogLevel } from "../logging/index.js";
import { LOG_LEVELS } from "../logging/index.js";
import type { HostAndPort, SettingFinding } from "../settings/index.js";
import { SettingsReader } from "../settings/index.js";

export const SIDECAR_FLAGS = {
    "advertised-peer-address": {
        description: "ip:port under which other daemons reach this one, where it is not that of peer-address",
        type: "string",
    },
    "caller-address": { description: "ip:port for requests of callers on this VM", type: "string" },
    "configuration-deadline": {
        default: "2s",
        description: "time in which a configuration has to be in force everywhere",
        type: "string",
    },
    "exposure-share": {
        description: "largest share of a service's requests that a version on trial may get; absent: no roll-outs",
        type: "string",
    },
    "exposure-slack": {
        default: "0",
        description: "requests that a version on trial may get besides",
        type: "string",
    },
    "failure-domain": { description: "failure domain of the VM", type: "string" },
    "first-listing-delay": {
        default: "2s",
        description: "time at the first start of the whole mesh in which all daemons write their records",
        type: "string",
    },
    "first-start": {
        default: "false",
        description: "whether the whole mesh starts for the first time",
        type: "string",
    },
    "grace": { default: "6s", description: "time between SIGTERM and SIGKILL", type: "string" },
    "hedge-excluded-routes": { description: "names of routes that are never hedged, with commas", type: "string" },
    "hedge-minimum-delay": {
        default: "50ms",
        description: "shortest time after which a request is hedged",
        type: "string",
    },
    "hedge-share": {
        default: "0",
        description: "hedged requests for each request that may be repeated; 0: none",
        type: "string",
    },
    "id": { description: "unique name of this daemon", type: "string" },
    "link-rate": { default: "1000", description: "rate of the VM's link in Mbit/s", type: "string" },
    "log-level": { default: "info", description: LOG_LEVELS.join(", "), type: "string" },
    "metrics-address": { description: "ip:port for metrics", type: "string" },
    "peer-address": { description: "ip:port for other daemons", type: "string" },
    "quota-window": {
        description: "window over which a tenant's limit holds; absent: limits of tenants are not applied",
        type: "string",
    },
    "ready-address": { description: "ip:port for the question whether callers may come", type: "string" },
    "region": { description: "region of the VM", type: "string" },
    "report-address": { description: "ip:port for reports of the backend server", type: "string" },
    "retry-ratio": { default: "0.2", description: "repeats for each request that the mesh may send", type: "string" },
    "retry-slack": {
        default: "60",
        description: "repeats that the mesh may send besides, in one window",
        type: "string",
    },
    "retry-window": { default: "10s", description: "window of the repeat budget", type: "string" },
    "revocation-deadline": {
        description: "time after which no request runs whose key was taken away; absent: that of configurations",
        type: "string",
    },
    "rollback-deadline": {
        default: "5s",
        description: "time after which a version gets no request once it has given 50 bad answers",
        type: "string",
    },
    "server-address": { description: "ip:port of the backend server", type: "string" },
    "service": { description: "service of the backend server", type: "string" },
    "store": { description: "base URL of the store", type: "string", valueHint: "url" },
} as const satisfies ArgsDef;

export interface SidecarSettings {
    readonly id: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly service: string;
    readonly callerAddress: HostAndPort;
    readonly peerAddress: HostAndPort;
    /** Under which other daemons reach this one; `peerAddress` when undefined. */
    readonly advertisedPeerAddress: HostAndPort | undefined;
    readonly readyAddress: HostAndPort;
    readonly reportAddress: HostAndPort;
    readonly serverAddress: HostAndPort;
    readonly metricsAddress: HostAndPort | undefined;
    readonly storeUrl: string;
    /** Largest share of a service's requests for a version on trial; undefined: there are no roll-outs. */
    readonly exposureShare: number | undefined;
    readonly exposureSlack: number;
    /** Names of routes that are never hedged. */
    readonly hedgeExcludedRoutes: readonly string[];
    readonly hedgeMinimumDelayMs: number;
    /** Hedged requests for each request that may be repeated. */
    readonly hedgeShare: number;
    readonly isFirstStart: boolean;
    readonly configurationDeadlineMs: number;
    readonly firstListingDelayMs: number;
    readonly graceMs: number;
    readonly linkMegabitsPerSecond: number;
    /** Window over which a tenant's limit holds; undefined: limits are not applied. */
    readonly quotaWindowMs: number | undefined;
    readonly retryRatio: number;
    readonly retrySlack: number;
    readonly retryWindowMs: number;
    /** Time after which no request runs whose key was taken away; undefined: the deadline of configurations applies. */
    readonly revocationDeadlineMs: number | undefined;
    readonly rollbackDeadlineMs: number;
    readonly logLevel: LogLevel;
}

const MAXIMUM_DURATION_MS = 3_600_000;
const MINIMUM_LINK_RATE = 0.01;
const MAXIMUM_LINK_RATE = 1_000_000;
const MAXIMUM_RETRY_SLACK = 1_000_000;
const MAXIMUM_EXPOSURE_SLACK = 1_000_000;

/** Reads settings from flags, then the environment, then defaults, and collects every fault. */
export function parseSidecarSettings(
    flags: Readonly<Record<string, unknown>>,
    environment: Readonly<Record<string, string | undefined>>,
): Either<readonly SettingFinding[], SidecarSettings> {
    const defaults = Object.fromEntries(
        Object.entries(SIDECAR_FLAGS).map(([name, flag]) => [name, "default" in flag ? flag.default : undefined]),
    );
    const reader = new SettingsReader(flags, environment, defaults, () => "");
    reader.reportUnknownFlags(Object.keys(SIDECAR_FLAGS));
    const settings = {
        advertisedPeerAddress: reader.readHostAndPort("advertised-peer-address"),
        callerAddress: reader.readRequiredHostAndPort("caller-address"),
        configurationDeadlineMs: reader.readDuration("configuration-deadline", MAXIMUM_DURATION_MS),
        exposureShare: reader.readOptional("exposure-share", flag => reader.readNumber(flag, 0, 1)),
        exposureSlack: reader.readNumber("exposure-slack", 0, MAXIMUM_EXPOSURE_SLACK),
        failureDomain: reader.readName("failure-domain"),
        firstListingDelayMs: reader.readDuration("first-listing-delay", MAXIMUM_DURATION_MS),
        graceMs: reader.readDuration("grace", MAXIMUM_DURATION_MS),
        hedgeExcludedRoutes: reader.readNames("hedge-excluded-routes"),
        hedgeMinimumDelayMs: reader.readDuration("hedge-minimum-delay", MAXIMUM_DURATION_MS),
        hedgeShare: reader.readNumber("hedge-share", 0, 1),
        id: reader.readName("id"),
        isFirstStart: reader.readChoice("first-start", ["true", "false"]) === "true",
        linkMegabitsPerSecond: reader.readNumber("link-rate", MINIMUM_LINK_RATE, MAXIMUM_LINK_RATE),
        logLevel: reader.readChoice("log-level", LOG_LEVELS) ?? "info",
        metricsAddress: reader.readHostAndPort("metrics-address"),
        peerAddress: reader.readRequiredHostAndPort("peer-address"),
        quotaWindowMs: reader.readOptional(
            "quota-window",
            flag => reader.readDuration(flag, MAXIMUM_DURATION_MS),
        ),
        readyAddress: reader.readRequiredHostAndPort("ready-address"),
        region: reader.readName("region"),
        reportAddress: reader.readRequiredHostAndPort("report-address"),
        retryRatio: reader.readNumber("retry-ratio", 0, 1),
        retrySlack: reader.readNumber("retry-slack", 0, MAXIMUM_RETRY_SLACK),
        retryWindowMs: reader.readDuration("retry-window", MAXIMUM_DURATION_MS),
        revocationDeadlineMs: reader.readOptional(
            "revocation-deadline",
            flag => reader.readDuration(flag, MAXIMUM_DURATION_MS),
        ),
        rollbackDeadlineMs: reader.readDuration("rollback-deadline", MAXIMUM_DURATION_MS),
        serverAddress: reader.readRequiredHostAndPort("server-address"),
        service: reader.readName("service"),
        storeUrl: reader.readUrl("store"),
    };
    return reader.findings.length > 0 ? Left(reader.findings) : Right(settings);
}

/** Derives when versions are confirmed anew; keys have to be confirmed within their own deadline as well. */
export function deriveVersionLimits(
    { configurationDeadlineMs, revocationDeadlineMs }: SidecarSettings,
): FreshnessLimits {
    return deriveFreshnessLimits(Math.min(configurationDeadlineMs, revocationDeadlineMs ?? Infinity));
}
