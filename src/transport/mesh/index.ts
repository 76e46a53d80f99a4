export { realTimers } from "../timers/index.js";
export type { Timers } from "../timers/index.js";
export { startMeshNode } from "./MeshNode.js";
export type {
    ControlCounters,
    DelayLink,
    LinkEndpoint,
    MeshLog,
    MeshNode,
    MeshOptions,
    MeshStatus,
} from "./MeshOptions.js";
