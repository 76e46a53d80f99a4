/** Counts the bytes of all connections, because traffic between regions is billed per byte. */
import type { Socket } from "node:net";
import { buildConnector } from "undici";

export interface TransferredBytes {
    readonly sentBytes: number;
    readonly receivedBytes: number;
}

export interface TransferCounter {
    readonly connect: buildConnector.connector;
    readTransferredBytes(): TransferredBytes;
}

function addSocketBytes(total: TransferredBytes, socket: Socket): TransferredBytes {
    return {
        receivedBytes: total.receivedBytes + socket.bytesRead,
        sentBytes: total.sentBytes + socket.bytesWritten,
    };
}

/** Creates a connector that counts the bytes of the connections it opens. */
export function createTransferCounter(connectTimeoutMs: number): TransferCounter {
    const open = new Set<Socket>();
    let closed: TransferredBytes = { receivedBytes: 0, sentBytes: 0 };
    const connectSocket = buildConnector({ timeout: connectTimeoutMs });
    return {
        connect: (options, callback) => {
            connectSocket(options, (...result) => {
                const [error, socket] = result;
                if (error === null && socket !== null) {
                    open.add(socket);
                    socket.once("close", () => {
                        open.delete(socket);
                        closed = addSocketBytes(closed, socket);
                    });
                }
                callback(...result);
            });
        },
        readTransferredBytes: () => [...open].reduce(addSocketBytes, closed),
    };
}
