import { SESSION_FRAME_LIMIT_BYTES } from "../../protocol/session/index.js";
import { createWebSocketNetwork } from "../peer/index.js";
import type { PeerNetwork } from "../peer/index.js";
import { CONNECT_TIMEOUT_MS } from "./SessionConstants.js";

/** Creates the network for sessions, whose frames can hold a whole request body. */
export function createSessionNetwork(): PeerNetwork {
    return createWebSocketNetwork({
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        frameLimitBytes: SESSION_FRAME_LIMIT_BYTES,
    });
}
