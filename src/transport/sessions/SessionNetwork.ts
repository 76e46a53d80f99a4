import { SESSION_FRAME_LIMIT_BYTES } from "../../protocol/session/index.js";
import { createWebSocketNetwork } from "../peer/index.js";
import type { PeerNetwork } from "../peer/index.js";
import { CONNECT_TIMEOUT_MS } from "./SessionConstants.js";

/** Connections for sessions: whole bodies of requests pass in one frame. */
export function createSessionNetwork(): PeerNetwork {
    return createWebSocketNetwork({
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        frameLimitBytes: SESSION_FRAME_LIMIT_BYTES,
    });
}
