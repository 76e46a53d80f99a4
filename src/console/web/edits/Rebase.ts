/** Makes an edit again on a newer version, setting by setting, so that neither operator's change is lost. */
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
    /** In the edit these hold the value of its own operator. */
    readonly conflicts: readonly SettingConflict[];
}

function formatOptional(value: unknown): string | undefined {
    return value === undefined ? undefined : formatSetting(value);
}

/** Combines two changes of one piece. The own value wins where both changed a setting. */
function mergeSettings(base: unknown, mine: unknown, theirs: unknown) {
    const [from, own, other] = [base, mine, theirs].map(piece => listSettings(piece));
    const combined = new Map<string, unknown>();
    const overlaps: SettingConflict[] = [];
    for (const path of new Set([...other?.keys() ?? [], ...own?.keys() ?? []])) {
        const [before, wanted, present] = [from, own, other].map(settings => settings?.get(path));
        const [beforeText, wantedText, presentText] = [before, wanted, present].map(formatOptional);
        const isMine = wantedText !== beforeText;
        if (isMine && presentText !== beforeText && presentText !== wantedText) {
            overlaps.push({ mine: wantedText, path, theirs: presentText });
        }
        const value = isMine ? wanted : present;
        if (value !== undefined) {
            combined.set(path, value);
        }
    }
    return { overlaps, piece: buildNestedSettings(combined) };
}

/** Rebases an edit from the document it was made on to the current one. */
export function rebaseEdit(
    edit: Edit,
    base: SourceDocument | undefined,
    current: SourceDocument | undefined,
): RebasedEdit {
    if (edit.kind !== "set") {
        return { edit, conflicts: [] };
    }
    const present = getTargetSettings(current, edit.target);
    if (present === undefined) {
        return { edit: { ...edit, isNew: edit.target.section !== "mesh" }, conflicts: [] };
    }
    const { overlaps, piece } = mergeSettings(getTargetSettings(base, edit.target), edit.piece, present);
    return { edit: { ...edit, isNew: false, piece }, conflicts: overlaps };
}
