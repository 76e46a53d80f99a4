/** Rebases an edit onto a newer version by a three-way merge of settings, so that no operator's change is lost. */
import type { SourceDocument } from "../../../state/document/index.js";
import type { Edit } from "./Edit.js";
import { getTargetSettings } from "./Edit.js";
import { buildNestedSettings, formatSetting, listSettings } from "./Settings.js";

/** A setting that both operators changed to different values. */
export interface SettingConflict {
    readonly path: string;
    readonly mine: string | undefined;
    readonly theirs: string | undefined;
}

export interface RebasedEdit {
    readonly edit: Edit;
    /** Settings for which `edit` has its own operator's value. */
    readonly conflicts: readonly SettingConflict[];
}

function formatOptional(value: unknown): string | undefined {
    return value === undefined ? undefined : formatSetting(value);
}

/** Merges two changes of the same target. `mine` wins where both changed a setting. */
function mergeSettings(base: unknown, mine: unknown, theirs: unknown) {
    const [baseSettings, mySettings, theirSettings] = [base, mine, theirs].map(settings => listSettings(settings));
    const merged = new Map<string, unknown>();
    const conflicts: SettingConflict[] = [];
    for (const path of new Set([...theirSettings?.keys() ?? [], ...mySettings?.keys() ?? []])) {
        const [baseValue, myValue, theirValue] = [baseSettings, mySettings, theirSettings].map(settings =>
            settings?.get(path)
        );
        const [baseText, myText, theirText] = [baseValue, myValue, theirValue].map(formatOptional);
        const isChangedByMe = myText !== baseText;
        if (isChangedByMe && theirText !== baseText && theirText !== myText) {
            conflicts.push({ mine: myText, path, theirs: theirText });
        }
        const value = isChangedByMe ? myValue : theirValue;
        if (value !== undefined) {
            merged.set(path, value);
        }
    }
    return { conflicts, piece: buildNestedSettings(merged) };
}

/** Rebases an edit from the document it is based on to the current one. */
export function rebaseEdit(
    edit: Edit,
    base: SourceDocument | undefined,
    current: SourceDocument | undefined,
): RebasedEdit {
    if (edit.kind !== "set") {
        return { edit, conflicts: [] };
    }
    const currentSettings = getTargetSettings(current, edit.target);
    if (currentSettings === undefined) {
        return { edit: { ...edit, isNew: edit.target.section !== "mesh" }, conflicts: [] };
    }
    const { conflicts, piece } = mergeSettings(getTargetSettings(base, edit.target), edit.piece, currentSettings);
    return { edit: { ...edit, isNew: false, piece }, conflicts };
}
