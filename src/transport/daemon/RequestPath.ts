/** Connects the request proxy to claims, metrics and the access log. */
import { setTimeout as sleep } from "node:timers/promises";
import type { ClaimManager, ClaimSettings, Wait } from "../../coordination/claims/index.js";
import {
    createClaimManager,
    createForwardingCommitter,
    createHolderSelector,
} from "../../coordination/claims/index.js";
import { MemberState } from "../../state/members/index.js";
import type { Random } from "../../state/shared/index.js";
import type { ReadMeshView } from "../../state/view/index.js";
import type { ClaimSender } from "../claims/index.js";
import { createClaimReceiver, createClaimSender } from "../claims/index.js";
import { createAccessLog } from "../logging/index.js";
import type { MetricsSummary } from "../metrics/index.js";
import { combineRecorders, createRequestMetrics, startMetricsSender } from "../metrics/index.js";
import type { RequestProxy } from "../proxy/index.js";
import { startRequestProxy } from "../proxy/index.js";
import type { DaemonSettings } from "../settings/index.js";
import type { DaemonDependencies } from "./DaemonOptions.js";

/** Used until a version is in force; no request is executed before then. */
const DEFAULT_CLAIM_SETTINGS: ClaimSettings = { answerBytes: 4096, retentionMs: 24 * 60 * 60 * 1000, shards: 32 };
const DEPARTED_STATES: ReadonlySet<MemberState> = new Set([MemberState.Left, MemberState.Dead]);

export interface RequestPath {
    readonly proxy: RequestProxy;
    readHistograms(): MetricsSummary;
    /** Waits for requests in flight, at most `stopTimeoutMs`, then stops claims and metrics. */
    stop(): Promise<void>;
    /** Closes immediately, like a crash; claims in progress are not settled. */
    closeAbruptly(): Promise<void>;
}

export interface RequestPathOptions extends DaemonDependencies {
    readonly settings: DaemonSettings;
    readonly readView: ReadMeshView;
    /** Time in milliseconds; must not jump. */
    readonly now: () => number;
    readonly random: Random;
}

const readUptime = (): number => performance.now();
const wait: Wait = (ms, signal) => sleep(ms, undefined, signal === undefined ? {} : { signal }).catch(() => undefined);

/** Claims are forwarded to the holders of their shards, so that one write covers the claims of many daemons. */
function createClaims(
    { claimStore, now, random, readView, settings }: RequestPathOptions,
    sender: ClaimSender,
): ClaimManager {
    const selectHolders = createHolderSelector(readView);
    return createClaimManager({
        executor: settings.id,
        isExecutorGone: executor => {
            const state = readView().members.get(executor)?.state;
            return state !== undefined && DEPARTED_STATES.has(state);
        },
        now,
        random,
        readSettings: () => readView().configuration?.document.mesh.claims ?? DEFAULT_CLAIM_SETTINGS,
        store: claimStore,
        uptime: readUptime,
        wait,
        wrapCommitter: direct =>
            createForwardingCommitter(direct, {
                selectHolders,
                self: settings.id,
                sendClaim: sender.send,
                uptime: readUptime,
                wait,
            }),
    });
}

/** Starts the request path, which refuses every request as not run until a version is in force. */
export async function startRequestPath(options: RequestPathOptions): Promise<RequestPath> {
    const { createPartLogger, now, random, readView, settings } = options;
    const proxyLog = createPartLogger("proxy");
    const metricsLog = createPartLogger("metrics");
    const metrics = createRequestMetrics();
    const claimSender = createClaimSender(settings.meshKey);
    const claims = createClaims(options, claimSender);
    const stopMetrics = await startMetricsSender({
        metrics,
        onError: error => {
            metricsLog.warn("could not send metrics.", { err: error });
        },
        tags: { daemon: settings.id, failureDomain: settings.failureDomain },
        target: settings.statsd === undefined
            ? undefined
            : { address: settings.statsd.host, port: settings.statsd.port },
    });
    const proxy = await startRequestProxy({
        address: settings.requestHost,
        claims,
        failureDomain: settings.failureDomain,
        handleForwardedClaim: createClaimReceiver(claims.committer, wait),
        log: (level, message, fields) => {
            proxyLog[level](message.replace(/^proxy: /, ""), fields);
        },
        meshKey: settings.meshKey,
        now,
        random,
        readView,
        readWallClock: () => Date.now(),
        recorder: combineRecorders([metrics, createAccessLog(createPartLogger("access"))]),
        region: settings.region,
        relayAddress: settings.address,
        relayPort: settings.relayPort,
        requestPort: settings.requestPort,
        selfId: settings.id,
    });
    return {
        proxy,
        readHistograms: () => metrics.summarize(),
        stop: async () => {
            await Promise.race([proxy.stop(), sleep(settings.stopTimeoutMs, undefined, { ref: false })]);
            claims.stop();
            await Promise.all([claimSender.stop(), stopMetrics()]);
        },
        closeAbruptly: async () => {
            claims.stop();
            await Promise.all([proxy.closeAbruptly(), claimSender.stop(), stopMetrics()]);
        },
    };
}
