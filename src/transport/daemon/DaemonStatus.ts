import type { TrackedServer } from "../../coordination/renewal/index.js";
import type { MeshView } from "../../state/view/index.js";
import type { ControlCounters } from "../mesh/index.js";
import type { TransferredBytes } from "../store/index.js";

/** The version in force, and the time at which this daemon put it in force. */
export interface InForceStatus {
    readonly version: number;
    readonly root: string;
    /** Wall-clock time in milliseconds. */
    readonly since: number;
}

/** State that the daemon reports without requests to peers. */
export interface DaemonStatus {
    readonly id: string;
    readonly inForce: InForceStatus | undefined;
    /** The daemon's backend server, as announced. */
    readonly server: TrackedServer | undefined;
    /** Traffic with other daemons. */
    readonly counters: ControlCounters;
    /** Traffic with the configuration store; traffic for claims is not counted. */
    readonly storeBytes: TransferredBytes;
    readonly residentBytes: number;
    readonly uptimeMs: number;
    readonly isStopping: boolean;
}

/** Records the time at which the version in force last changed. */
export class InForceTracker {
    #status: InForceStatus | undefined;

    observe({ configuration }: MeshView, now: number): void {
        if (configuration !== undefined && configuration.version !== this.#status?.version) {
            this.#status = { root: configuration.root, since: now, version: configuration.version };
        }
    }

    read(): InForceStatus | undefined {
        return this.#status;
    }
}
