/** Tells which of the changed settings a running daemon follows. */
import type { SidecarSettings } from "./SidecarSettings.js";

/** Settings that a reload applies; the others need a restart. */
const RELOADABLE_SETTINGS: ReadonlySet<string> = new Set<keyof SidecarSettings>([
    "graceMs",
    "hedgeExcludedRoutes",
    "hedgeMinimumDelayMs",
    "hedgeShare",
    "retryRatio",
    "retrySlack",
    "retryWindowMs",
    "storeUrl",
]);

export interface SettingsReload {
    readonly settings: SidecarSettings;
    /** Names of the changed settings that are in force now, and of those that aren't. */
    readonly followed: readonly string[];
    readonly ignored: readonly string[];
}

export function planReload(before: SidecarSettings, after: SidecarSettings): SettingsReload {
    const known = before as unknown as Record<string, unknown>;
    const changed = Object.entries(after)
        .filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(known[name]))
        .map(([name]) => name);
    return {
        followed: changed.filter(name => RELOADABLE_SETTINGS.has(name)),
        ignored: changed.filter(name => !RELOADABLE_SETTINGS.has(name)),
        settings: {
            ...before,
            ...Object.fromEntries(Object.entries(after).filter(([name]) => RELOADABLE_SETTINGS.has(name))),
        },
    };
}
