import type { FrameConnection } from "../../protocol/peer/index.js";
import { decodeSessionMessage } from "../../protocol/session/index.js";
import type { SessionMessage } from "../../protocol/session/index.js";

/**
 * Passes each message of a connection to `handle` until the connection ends. Rejects with the
 * `MessageError` of a malformed message; the connection is closed in any case.
 */
export async function consumeFrames(
    connection: FrameConnection,
    handle: (message: SessionMessage, bytes: number) => void,
): Promise<void> {
    try {
        for await (const frame of connection.frames) {
            handle(decodeSessionMessage(frame), frame.length);
        }
    }
    finally {
        connection.close();
    }
}
