/** Converts between settings and the text of fields. Text that does not fit is kept, so that it is shown again. */
import type { Field, FieldGroup } from "./Field.js";
import { formatFieldName } from "./Field.js";

type SettingGroup = Record<string, unknown>;

/** Reads the setting of a field; undefined where it is left out. */
export function getSetting(piece: unknown, segments: readonly string[]): unknown {
    return segments.reduce<unknown>((value, key) => {
        const isGroup = typeof value === "object" && value !== null && Object.hasOwn(value, key);
        return isGroup ? (value as SettingGroup)[key] : undefined;
    }, piece);
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

/** Formats a setting as the text of its field. */
export function formatFieldValue(field: Field, piece: unknown): string {
    const value = getSetting(piece, field.segments);
    if (field.control.kind === "regions") {
        return formatRegions(value);
    }
    return Array.isArray(value) ? value.join(", ") : value === undefined ? "" : String(value);
}

/** Lists the selected names of a field with several choices. */
export function listSelectedNames(field: Field, piece: unknown): readonly string[] {
    const value = getSetting(piece, field.segments);
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
            // Browsers send line breaks as CR LF.
            return (texts[0] ?? "").replaceAll("\r\n", "\n");
        default:
            return text === "" && !field.isRequired ? undefined : text;
    }
}

function setSetting(piece: SettingGroup, segments: readonly string[], value: unknown): void {
    const [key = "", ...rest] = segments;
    if (rest.length === 0) {
        piece[key] = value;
        return;
    }
    piece[key] ??= {};
    setSetting(piece[key] as SettingGroup, rest, value);
}

/** Reads the piece that a sent form describes. Empty fields are left out, so that defaults apply. */
export function parseFormSettings(groups: readonly FieldGroup[], sent: URLSearchParams): SettingGroup {
    const piece: SettingGroup = {};
    for (const group of groups) {
        const [key] = group.segments;
        if (group.isRequired && key !== undefined) {
            piece[key] = {};
        }
        for (const field of group.fields) {
            const value = parseFieldValue(field, sent.getAll(formatFieldName(field)));
            if (value !== undefined) {
                setSetting(piece, field.segments, value);
            }
        }
    }
    return piece;
}

/** Lists the failure domains of a sent form that the document no longer has, so that their numbers are kept. */
export function collectSubmittedServers(sent: URLSearchParams): SettingGroup {
    const prefix = "piece.servers.";
    const names = [...sent.keys()].filter(name => name.startsWith(prefix) && sent.get(name) !== "");
    return { servers: Object.fromEntries(names.map(name => [name.slice(prefix.length), sent.get(name)])) };
}
