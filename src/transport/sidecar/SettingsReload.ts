import type { SidecarSettings } from "./SidecarSettings.js";

/** Settings that are applied without a restart. */
const RELOADABLE_SETTINGS: ReadonlySet<string> = new Set([
    "graceMs",
    "retryRatio",
    "retrySlack",
    "retryWindowMs",
    "storeUrl",
]);

export interface MergedSettings {
    readonly merged: SidecarSettings;
    /** Names of the changed settings that apply now. */
    readonly followed: readonly string[];
    /** Names of the changed settings that need a restart. */
    readonly ignored: readonly string[];
}

/** Takes over those of the changed settings that need no restart. */
export function mergeSettings(present: SidecarSettings, settings: SidecarSettings): MergedSettings {
    const before = present as unknown as Record<string, unknown>;
    const changed = Object.entries(settings)
        .filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(before[name]))
        .map(([name]) => name);
    return {
        followed: changed.filter(name => RELOADABLE_SETTINGS.has(name)),
        ignored: changed.filter(name => !RELOADABLE_SETTINGS.has(name)),
        merged: {
            ...present,
            ...Object.fromEntries(Object.entries(settings).filter(([name]) => RELOADABLE_SETTINGS.has(name))),
        },
    };
}
