/** Converts nested settings to a flat map by path and back, so that they can be compared and merged. */

/** Separates the keys of a setting's path; names and keys contain no dots. */
const PATH_SEPARATOR = ".";

function isGroup(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Flattens nested groups to settings by path, for example `probe.path`. A list is a single setting. */
export function listSettings(settings: unknown, prefix = ""): ReadonlyMap<string, unknown> {
    if (!isGroup(settings)) {
        return settings === undefined ? new Map() : new Map([[prefix, settings]]);
    }
    return new Map(
        Object.entries(settings).flatMap(([key, value]) => [
            ...listSettings(value, prefix === "" ? key : prefix + PATH_SEPARATOR + key),
        ]),
    );
}

/** Builds nested groups from settings by path; the inverse of `listSettings`. */
export function buildNestedSettings(settings: ReadonlyMap<string, unknown>): Readonly<Record<string, unknown>> {
    const nested: Record<string, unknown> = {};
    for (const [path, value] of settings) {
        const keys = path.split(PATH_SEPARATOR);
        const last = keys.pop() ?? "";
        let group = nested;
        for (const key of keys) {
            if (!isGroup(group[key])) {
                group[key] = {};
            }
            group = group[key] as Record<string, unknown>;
        }
        group[last] = value;
    }
    return nested;
}

/** Formats the value of a setting for display. */
export function formatSetting(value: unknown): string {
    if (Array.isArray(value)) {
        return value.length === 0 ? "(empty list)" : value.join(", ");
    }
    return typeof value === "object" ? JSON.stringify(value) : String(value);
}
