export { formatFieldName } from "./Field.js";
export type { Control, Field, FieldGroup } from "./Field.js";
export { formatInputId, renderFieldGroup, renderFindings } from "./FieldRendering.js";
export { listSentDomains, readPieceFromForm } from "./FieldValues.js";
export { divideFindings } from "./FindingPlaces.js";
export type { PlacedFindings } from "./FindingPlaces.js";
export { buildFieldGroups, formatLabel, listKnownNames } from "./FormModel.js";
export type { KnownNames } from "./FormModel.js";
