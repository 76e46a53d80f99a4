export { computeDifference } from "./Difference.js";
export type { EntryChange, SettingChange } from "./Difference.js";
export {
    applyEdit,
    describeEdit,
    describeTarget,
    ENTRY_SECTIONS,
    isEntrySection,
    listTargetSegments,
    parseDraft,
    readPiece,
    SECTION_WORDS,
} from "./Edit.js";
export type { Draft, Edit, EditTarget, EntrySection } from "./Edit.js";
export { rebaseEdit } from "./Rebase.js";
export type { Overlap, RebasedEdit } from "./Rebase.js";
export { formatSetting } from "./Settings.js";
