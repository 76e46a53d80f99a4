/** What a daemon on a platform is given besides its settings, and how it is controlled. */
import type { Dialect } from "../../protocol/dialect/index.js";
import type { MeshStorePort } from "../../state/store/index.js";
import type { DecodeConfiguration } from "../directory/index.js";
import type { CreatePartLogger, PartLogger } from "../logging/index.js";
import type { AdmissionController } from "../ownership/index.js";
import type { PeerNetwork } from "../peer/index.js";
import type { EndpointHandler } from "./HttpEndpoint.js";
import type { SidecarSettings } from "./SidecarSettings.js";

/** Dependencies of a daemon besides its settings. */
export interface SidecarDependencies {
    readonly createPartLogger: CreatePartLogger;
    readonly dialect: Dialect;
    readonly store: MeshStorePort;
    readonly decodeConfiguration: DecodeConfiguration;
    readonly network: PeerNetwork;
    /** Answers the platform's readiness checks. */
    readonly answerReady: (isReady: boolean) => EndpointHandler;
    /** Answers reports of the backend server. */
    readonly answerReports: (
        admission: AdmissionController,
        log: PartLogger,
        service: string,
        readWallClock: () => number,
    ) => EndpointHandler;
    readonly now: () => number;
    /** Share of the time since the last call in which the event loop wasn't idle. */
    readonly readUtilization: () => number;
    /** Unix milliseconds. */
    readonly readWallClock: () => number;
    readonly random: () => number;
    readonly createSessionId: () => string;
    readonly readDroppedLines: () => number;
}

export interface Sidecar {
    /** Planned stop: waits for requests in flight, within the grace period. */
    stop(): Promise<void>;
    /** Applies changed settings; those of ports and of the daemon's identity need a restart. */
    reload(settings: SidecarSettings): void;
    /** Closes everything at once, as a crash does; for tests. */
    closeAbruptly(): Promise<void>;
}
