/** Converts between settings and the text of fields. Invalid text is kept as it is, so that the form shows it again. */
import type { Field, FieldGroup } from "./Field.js";
import { formatFieldName } from "./Field.js";

type SettingGroup = Record<string, unknown>;

/** Returns the setting at a path; undefined where it is omitted. */
export function getSetting(settings: unknown, segments: readonly string[]): unknown {
    return segments.reduce<unknown>((value, key) => {
        const isGroup = typeof value === "object" && value !== null && Object.hasOwn(value, key);
        return isGroup ? (value as SettingGroup)[key] : undefined;
    }, settings);
}

function formatRegions(value: unknown): string {
    return Object.entries((value ?? {}) as Readonly<Record<string, { readonly failureDomains?: unknown; }>>)
        .map(([region, { failureDomains }]) =>
            `${region}: ${Array.isArray(failureDomains) ? failureDomains.join(", ") : ""}`
        )
        .join("\n");
}

function parseRegions(text: string): SettingGroup {
    const lines = text.split("\n").map(line => line.trim()).filter(line => line !== "");
    return Object.fromEntries(lines.map(line => {
        const [region = "", domains = ""] = line.split(/:(.*)/s);
        return [region.trim(), { failureDomains: parseList(domains) }];
    }));
}

function parseList(text: string): readonly string[] {
    return text.split(/[\s,]+/).filter(word => word !== "");
}

/** Formats the setting of a field as the text of its input. */
export function formatFieldValue(field: Field, settings: unknown): string {
    const value = getSetting(settings, field.segments);
    if (field.control.kind === "regions") {
        return formatRegions(value);
    }
    return Array.isArray(value) ? value.join(", ") : value === undefined ? "" : String(value);
}

/** Lists the selected names of a field that allows several. */
export function listSelectedNames(field: Field, settings: unknown): readonly string[] {
    const value = getSetting(settings, field.segments);
    return Array.isArray(value) ? value.map(String) : [];
}

function parseFieldValue(field: Field, texts: readonly string[]): unknown {
    const text = (texts[0] ?? "").trim();
    switch (field.control.kind) {
        case "choices":
            return texts.length === 0 && !field.isRequired ? undefined : texts;
        case "list":
            return text === "" && !field.isRequired ? undefined : parseList(text);
        case "regions":
            return parseRegions(text);
        case "integer":
            return /^-?\d{1,15}$/.test(text) ? Number(text) : text === "" && !field.isRequired ? undefined : text;
        case "boolean":
            return text === "true" || text === "false" ? text === "true" : text;
        case "paragraph":
            // Browsers submit line breaks as CR LF.
            return (texts[0] ?? "").replaceAll("\r\n", "\n");
        default:
            return text === "" && !field.isRequired ? undefined : text;
    }
}

function setSetting(settings: SettingGroup, segments: readonly string[], value: unknown): void {
    const [key = "", ...rest] = segments;
    if (rest.length === 0) {
        settings[key] = value;
        return;
    }
    settings[key] ??= {};
    setSetting(settings[key] as SettingGroup, rest, value);
}

/** Parses the settings of a submitted form. Empty fields are omitted, so that defaults apply. */
export function parseFormSettings(groups: readonly FieldGroup[], submitted: URLSearchParams): SettingGroup {
    const settings: SettingGroup = {};
    for (const group of groups) {
        const [key] = group.segments;
        if (group.isRequired && key !== undefined) {
            settings[key] = {};
        }
        for (const field of group.fields) {
            const value = parseFieldValue(field, submitted.getAll(formatFieldName(field)));
            if (value !== undefined) {
                setSetting(settings, field.segments, value);
            }
        }
    }
    return settings;
}

/** Collects the submitted server counts, also of failure domains that the document no longer defines. */
export function collectSubmittedServers(submitted: URLSearchParams): SettingGroup {
    const prefix = "piece.servers.";
    const names = [...submitted.keys()].filter(name => name.startsWith(prefix) && submitted.get(name) !== "");
    return { servers: Object.fromEntries(names.map(name => [name.slice(prefix.length), submitted.get(name)])) };
}
