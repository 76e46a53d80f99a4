/** Which settings a running daemon follows. */
import type { SidecarSettings } from "./SidecarSettings.js";

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
    /** Names of changed settings that are followed. */
    readonly followed: readonly string[];
    /** Names of changed settings that need a restart. */
    readonly ignored: readonly string[];
}

/** Merges those of the new settings that can be followed into the present ones. */
export function mergeSettings(present: SidecarSettings, reloaded: SidecarSettings): SettingsReload {
    const before = present as unknown as Record<string, unknown>;
    const changed = Object.entries(reloaded)
        .filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(before[name]))
        .map(([name]) => name);
    return {
        followed: changed.filter(name => RELOADABLE_SETTINGS.has(name)),
        ignored: changed.filter(name => !RELOADABLE_SETTINGS.has(name)),
        settings: {
            ...present,
            ...Object.fromEntries(Object.entries(reloaded).filter(([name]) => RELOADABLE_SETTINGS.has(name))),
        },
    };
}
