import type { StorePort } from "../../state/store/index.js";
import type { CreatePartLogger } from "../logging/index.js";
import type { DelayLink } from "../mesh/index.js";
import type { StoreClient } from "../store/index.js";

/** Dependencies of a daemon besides its settings. */
export interface DaemonDependencies {
    readonly createPartLogger: CreatePartLogger;
    /** Store of the configuration; its traffic counts as control traffic. */
    readonly store: StoreClient;
    /** Store of the claims. */
    readonly claimStore: StorePort;
    /** Simulated latency and link capacity, for measurements and the demo. */
    readonly delayLink?: DelayLink;
}

/** A running daemon. */
export interface Daemon {
    readonly requestPort: number;
    readonly relayPort: number;
    readonly peerPort: number;
    readonly controlPort: number;
    /** Stops gracefully: hands over all duties and interrupts no request. */
    stop(): Promise<void>;
    /** Closes immediately, like a crash; for tests. */
    closeAbruptly(): Promise<void>;
}
