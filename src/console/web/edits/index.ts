export { computeDifference } from "./Difference.js";
export type { EntryChange, SettingChange } from "./Difference.js";
export {
    applyEdit,
    describeEdit,
    describeTarget,
    ENTRY_SECTIONS,
    getTargetSettings,
    isEntrySection,
    listTargetSegments,
    parseDraft,
    SECTION_LABELS,
} from "./Edit.js";
export type { Draft, Edit, EditTarget, EntrySection } from "./Edit.js";
export { rebaseEdit } from "./Rebase.js";
export type { RebasedEdit, SettingConflict } from "./Rebase.js";
export { formatSetting } from "./Settings.js";
