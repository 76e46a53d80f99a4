import type { MeasuredMesh } from "./MeasuredMesh.js";

import { sleep } from "./CountingStore.js";
import { SERVICE_MS, SLOTS } from "./MeasuredDocument.js";
import { SERVERS } from "./MeasuredMesh.js";
import { Behaviour } from "./WorkerMessages.js";

const MS_PER_S = 1_000;

/** Requests per second that all servers of the service can answer together. */
const CAPACITY_PER_SECOND = SERVERS * SLOTS * MS_PER_S / SERVICE_MS;
const NORMAL_RATE = CAPACITY_PER_SECOND / 2;
const OVERLOAD_RATE = CAPACITY_PER_SECOND * 2;

/** Delay from the start of a phase to its fault. */
const FAULT_START_MS = 500;

/** Time from a crash until the member leaves the view: 3 s as a suspect and the attempt to connect. */
const DETECTION_MS = 3_500;

/** Time in which the record of a leaving server reaches the other daemons. */
const RECORD_PROPAGATION_MS = 200;

/** One phase of the schedule: the offered load and the injected fault. */
export interface FaultPhase {
    readonly name: string;
    /** Offered requests per second. */
    readonly rate: number;
    /** Injects the fault; runs concurrently with the load. */
    inject(mesh: MeasuredMesh): Promise<void>;
}

/** The schedule; the mesh is restored between the phases. */
export const FAULT_PHASES: readonly FaultPhase[] = [
    { name: "no fault", rate: NORMAL_RATE, inject: () => Promise.resolve() },
    {
        name: "slow server",
        rate: NORMAL_RATE,
        inject: mesh => setPhaseBehaviour(mesh, "erie-a-1", Behaviour.Slow),
    },
    {
        name: "lying health",
        rate: NORMAL_RATE,
        inject: mesh => setPhaseBehaviour(mesh, "erie-b-1", Behaviour.Failing),
    },
    {
        name: "crash",
        rate: NORMAL_RATE,
        inject: async mesh => {
            await sleep(FAULT_START_MS);
            await mesh.crash("erie-a-2");
            await sleep(DETECTION_MS);
            mesh.setState("erie-a-2", "dead");
        },
    },
    {
        name: "drain",
        rate: NORMAL_RATE,
        inject: async mesh => {
            await sleep(FAULT_START_MS);
            mesh.drain("erie-b-2");
            await sleep(RECORD_PROPAGATION_MS);
            mesh.setState("erie-b-2", "leaving");
        },
    },
    { name: "overload 2x", rate: OVERLOAD_RATE, inject: () => Promise.resolve() },
    {
        name: "lost domain",
        rate: NORMAL_RATE,
        inject: async mesh => {
            await sleep(FAULT_START_MS);
            await mesh.crashDomain("erie-c");
            await sleep(DETECTION_MS);
            mesh.setCutOff(["erie-c"]);
        },
    },
];

/** Duration of each phase's load. */
export const PHASE_MS = 4_200;

async function setPhaseBehaviour(mesh: MeasuredMesh, id: string, behaviour: Behaviour): Promise<void> {
    await sleep(FAULT_START_MS);
    mesh.setBehaviour(id, behaviour);
    await sleep(PHASE_MS - FAULT_START_MS);
    mesh.setBehaviour(id, Behaviour.Normal);
}
