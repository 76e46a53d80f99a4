export { formatFieldName } from "./Field.js";
export type { Control, Field, FieldGroup } from "./Field.js";
export { formatInputId, renderFieldGroup, renderFindings } from "./FieldRendering.js";
export { collectSubmittedServers, parseFormSettings } from "./FieldValues.js";
export { mapFindingsToFields } from "./FormFindings.js";
export type { FormFindings } from "./FormFindings.js";
export { buildFieldGroups, formatLabel, listKnownNames } from "./FormModel.js";
export type { KnownNames } from "./FormModel.js";
