/** Difference between two documents, by entry and by setting. */
import { DocumentSchema } from "../../../state/document/index.js";
import type { EditTarget } from "./Edit.js";
import { ENTRY_SECTIONS, getTargetSettings } from "./Edit.js";
import { formatSetting, listSettings } from "./Settings.js";

/** A setting that differs; a side is undefined where the setting is omitted. */
export interface SettingChange {
    readonly path: string;
    readonly before: string | undefined;
    readonly after: string | undefined;
    /** Default that applies where the setting is omitted. */
    readonly defaultText: string | undefined;
}

export interface EntryChange {
    readonly target: EditTarget;
    readonly kind: "added" | "removed" | "changed";
    readonly settings: readonly SettingChange[];
}

/** A document that may be invalid. */
type UnvalidatedDocument = Readonly<Record<string, unknown>>;

interface SchemaNode {
    readonly default?: unknown;
    readonly properties?: Readonly<Record<string, SchemaNode>>;
    readonly patternProperties?: Readonly<Record<string, SchemaNode>>;
}

/** Looks up the default of a setting in the schema; undefined when it has none. */
function findDefaultText(target: EditTarget, path: string): string | undefined {
    let schema: SchemaNode | undefined = (DocumentSchema as SchemaNode).properties?.[target.section];
    if (target.section !== "mesh") {
        schema = Object.values(schema?.patternProperties ?? {})[0];
    }
    for (const key of path.split(".")) {
        schema = schema?.properties?.[key];
    }
    return schema?.default === undefined ? undefined : formatSetting(schema.default);
}

function listSettingChanges(target: EditTarget, before: unknown, after: unknown): readonly SettingChange[] {
    const from = listSettings(before);
    const to = listSettings(after);
    return [...new Set([...from.keys(), ...to.keys()])]
        .map(path => ({
            after: to.has(path) ? formatSetting(to.get(path)) : undefined,
            before: from.has(path) ? formatSetting(from.get(path)) : undefined,
            defaultText: findDefaultText(target, path),
            path,
        }))
        .filter(change => change.before !== change.after);
}

function listTargets(documents: readonly UnvalidatedDocument[]): readonly EditTarget[] {
    const entries = ENTRY_SECTIONS.flatMap(section => {
        const names = documents.flatMap(document => Object.keys(document[section] ?? {}));
        return [...new Set(names)].sort().map(name => ({ name, section }));
    });
    return [{ section: "mesh" }, ...entries];
}

/** Lists the entries that differ, by section and name. */
export function computeDifference(from: unknown, to: unknown): readonly EntryChange[] {
    const before = (from ?? {}) as UnvalidatedDocument;
    const after = (to ?? {}) as UnvalidatedDocument;
    return listTargets([before, after]).flatMap(target => {
        const previous = getTargetSettings(before as never, target);
        const next = getTargetSettings(after as never, target);
        const settings = listSettingChanges(target, previous, next);
        const isChanged = settings.length > 0 || (previous === undefined) !== (next === undefined);
        const kind = previous === undefined
            ? "added" as const
            : next === undefined
            ? "removed" as const
            : "changed" as const;
        return isChanged ? [{ kind, settings, target }] : [];
    });
}
