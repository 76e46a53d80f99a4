/** How the other side has ended a connection. */
import type { Socket } from "node:net";

/**
 * Whether a connection was reset, to be called in the handler of its `end`. For many resets Node.js emits `end` and no error,
 * since libuv takes a hang-up after a short read for an end. A socket that was reset has no peer any more, one that was
 * closed in order still has it. Node.js keeps the peer's address once it was read, so nothing may read it earlier.
 */
export function isReset(socket: Socket): boolean {
    return socket.remoteAddress === undefined;
}
