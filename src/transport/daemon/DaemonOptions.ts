import type { StorePort } from "../../state/store/index.js";
import type { CreatePartLogger } from "../logging/index.js";
import type { DelayLink } from "../mesh/index.js";
import type { StoreClient } from "../store/index.js";

/** What a daemon is given beside its settings. */
export interface DaemonDependencies {
    readonly createPartLogger: CreatePartLogger;
    /** Store of the configuration; its traffic is counted as control bytes. */
    readonly store: StoreClient;
    /** Store of the claims. */
    readonly claimStore: StorePort;
    /** Latency and capacity of links, which the demo and measurements apply. */
    readonly delayLink?: DelayLink;
}

/** One running daemon. */
export interface Daemon {
    readonly requestPort: number;
    readonly relayPort: number;
    readonly peerPort: number;
    readonly controlPort: number;
    /** Planned stop: hands everything over and interrupts no request. */
    stop(): Promise<void>;
    /** Ends at once as a crash does; for tests. */
    closeAbruptly(): Promise<void>;
}
