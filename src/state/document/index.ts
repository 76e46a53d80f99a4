export { renderConfigurationPage } from "./ConfigurationPage.js";
export { MAXIMUM_DOCUMENT_BYTES, MAXIMUM_RESOURCE_BYTES } from "./DocumentConstants.js";
export { diffDocuments } from "./DocumentDiff.js";
export type { ResourceChange, SettingChange } from "./DocumentDiff.js";
export { formatDocument } from "./DocumentFormat.js";
export { resolveDocument, resolveResources } from "./DocumentResolution.js";
export { joinResources, splitDocument } from "./DocumentResources.js";
export { DocumentSchema } from "./DocumentSchema.js";
export type {
    SourceClass,
    SourceDocument,
    SourceMesh,
    SourceNamedResource,
    SourceRoute,
    SourceService,
} from "./DocumentSchema.js";
export { parseDocument } from "./DocumentText.js";
export { validateDocument } from "./DocumentValidation.js";
export { formatFinding, formatPath } from "./Finding.js";
export type { Finding, PathSegment } from "./Finding.js";
export { Weighing, WhenAbsent } from "./MeshDocument.js";
export type {
    ClassSettings,
    MeshDocument,
    MeshSettings,
    NamedResource,
    RegionSettings,
    RetrySettings,
    RouteSettings,
    ServiceSettings,
} from "./MeshDocument.js";
export { parseQuantity, QuantityKind } from "./Quantity.js";
export { describeExpected } from "./SchemaRules.js";
export { findSuggestion } from "./Suggestion.js";
