import type { TrackedServer } from "../../coordination/renewal/index.js";
import type { MeshView } from "../../state/view/index.js";
import type { ControlCounters } from "../mesh/index.js";
import type { TransferredBytes } from "../store/index.js";

/** The version in force and when this daemon put it in force. */
export interface InForceStatus {
    readonly version: number;
    readonly root: string;
    /** Time in milliseconds. */
    readonly since: number;
}

/** What the daemon tells of itself without asking a peer. */
export interface DaemonStatus {
    readonly id: string;
    readonly inForce: InForceStatus | undefined;
    /** The backend server beside the daemon, as it announced itself. */
    readonly server: TrackedServer | undefined;
    /** Traffic with other daemons. */
    readonly counters: ControlCounters;
    /** Traffic with the store for the configuration; that of claims is not counted. */
    readonly storeBytes: TransferredBytes;
    readonly residentBytes: number;
    readonly uptimeMs: number;
    readonly isStopping: boolean;
}

/** Notes when the version in force changed. */
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
