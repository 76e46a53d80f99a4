/** Connects quotas to the parts of a daemon that they use. */
import type { ConfigurationManager, MemberRegistry } from "../directory/index.js";
import type { CreatePartLogger } from "../logging/index.js";
import { QuotaManager } from "../quotas/index.js";
import type { SessionManager } from "../sessions/index.js";
import { realTimers } from "../timers/index.js";
import type { AgeClock } from "../timers/index.js";
import type { SidecarSettings } from "./SidecarSettings.js";

export interface QuotaSources {
    readonly ageClock: AgeClock;
    readonly createPartLogger: CreatePartLogger;
    readonly now: () => number;
    readonly random: () => number;
    readonly settings: SidecarSettings;
    readConfiguration(): ConfigurationManager;
    readRegistry(): MemberRegistry;
    readSessions(): SessionManager;
}

/** Creates the quotas of a daemon; undefined where the settings name no window. */
export function createQuotas(sources: QuotaSources): QuotaManager | undefined {
    const { ageClock, createPartLogger, now, random, settings } = sources;
    if (settings.quotaWindowMs === undefined) {
        return undefined;
    }
    return new QuotaManager({
        countDaemons: () => sources.readRegistry().isRegistered ? sources.readRegistry().list().length : undefined,
        isFirst: settings.isFirstStart,
        listConnected: () => sources.readSessions().listConnected(now()),
        listMembers: () => sources.readRegistry().list().map(({ id, incarnation }) => ({ id, startedAt: incarnation })),
        listTenants: () =>
            (sources.readConfiguration().configuration?.tenants?.list() ?? []).map(({ tenant }) => tenant),
        log: createPartLogger("quotas"),
        now: ageClock.now,
        random,
        readSendingTime: now,
        selfId: settings.id,
        send: (id, message) => sources.readSessions().sendGossip(id, message),
        timers: realTimers,
        windowMs: settings.quotaWindowMs,
    });
}
