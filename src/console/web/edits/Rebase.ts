/** Makes an edit again on a newer version, setting by setting, so that neither operator's change is lost. */
import type { SourceDocument } from "../../../state/document/index.js";
import type { Edit } from "./Edit.js";
import { readPiece } from "./Edit.js";
import { buildPiece, formatSetting, listSettings } from "./Settings.js";

/** A setting that both operators changed to different values. */
export interface Overlap {
    readonly path: string;
    readonly mine: string | undefined;
    readonly theirs: string | undefined;
}

export interface RebasedEdit {
    readonly edit: Edit;
    /** In the edit these hold the value of its own operator. */
    readonly overlaps: readonly Overlap[];
}

function formatOptional(value: unknown): string | undefined {
    return value === undefined ? undefined : formatSetting(value);
}

/** Combines two changes of one piece. The own value wins where both changed a setting. */
function combinePieces(base: unknown, mine: unknown, theirs: unknown) {
    const [from, own, other] = [base, mine, theirs].map(piece => listSettings(piece));
    const combined = new Map<string, unknown>();
    const overlaps: Overlap[] = [];
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
    return { overlaps, piece: buildPiece(combined) };
}

/** Rebases an edit from the document it was made on to the current one. */
export function rebaseEdit(
    edit: Edit,
    base: SourceDocument | undefined,
    current: SourceDocument | undefined,
): RebasedEdit {
    if (edit.kind !== "set") {
        return { edit, overlaps: [] };
    }
    const present = readPiece(current, edit.target);
    if (present === undefined) {
        return { edit: { ...edit, isNew: edit.target.section !== "mesh" }, overlaps: [] };
    }
    const { overlaps, piece } = combinePieces(readPiece(base, edit.target), edit.piece, present);
    return { edit: { ...edit, isNew: false, piece }, overlaps };
}
