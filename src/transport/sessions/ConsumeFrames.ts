import { setImmediate as yieldToEvents } from "node:timers/promises";
import type { FrameConnection } from "../../protocol/peer/index.js";
import { decodeSessionMessage } from "../../protocol/session/index.js";
import type { SessionMessage } from "../../protocol/session/index.js";

/** Messages that are handled at a time, before other connections and timers get their turn. */
const MESSAGES_PER_TURN = 32;

/**
 * Passes each message of a connection to `handle` until the connection ends. Rejects with the
 * `MessageError` of a malformed message; the connection is closed in any case.
 */
export async function consumeFrames(
    connection: FrameConnection,
    handle: (message: SessionMessage, bytes: number) => void,
): Promise<void> {
    try {
        let handled = 0;
        for await (const frame of connection.frames) {
            handle(decodeSessionMessage(frame), frame.length);
            if (++handled % MESSAGES_PER_TURN === 0) {
                await yieldToEvents();
            }
        }
    }
    finally {
        connection.close();
    }
}
