export { createQuotas } from "./CreateQuotas.js";
export type { EndpointAnswer, EndpointHandler, EndpointRequest } from "./HttpEndpoint.js";
export { createUtilizationReader } from "./OverloadMonitor.js";
export { startSidecar } from "./Sidecar.js";
export type { Sidecar, SidecarDependencies } from "./SidecarDependencies.js";
export { parseSidecarSettings, SIDECAR_FLAGS } from "./SidecarSettings.js";
export type { SidecarSettings } from "./SidecarSettings.js";
