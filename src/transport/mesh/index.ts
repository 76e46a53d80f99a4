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
export { realTimers } from "./Timers.js";
export type { Timers } from "./Timers.js";
