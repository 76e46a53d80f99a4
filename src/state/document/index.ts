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
