import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import { FRAME_LIMIT_BYTES, FrameQueue } from "../../protocol/peer/index.js";
import type { FrameConnection } from "../../protocol/peer/index.js";
import { realTimers, scheduleTimeout } from "../timers/index.js";
import type { PeerListener, PeerNetwork } from "./PeerNetwork.js";

const DEFAULT_CONNECT_TIMEOUT_MS = 2_000;
const UPGRADE_REQUIRED_STATUS = 426;
/** Time allowed for the last messages and the closing handshake before the socket is destroyed. */
const CLOSE_TIMEOUT_MS = 1_000;

export interface WebSocketNetworkOptions {
    readonly connectTimeoutMs?: number;
    /** Maximum size of a received frame. */
    readonly frameLimitBytes?: number;
}

interface SocketOptions {
    readonly maxPayload: number;
    /** The codec compresses whole messages, once for all receivers. */
    readonly perMessageDeflate: false;
}

/** Creates a peer network over `ws`. */
export function createWebSocketNetwork(
    { connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS, frameLimitBytes = FRAME_LIMIT_BYTES }: WebSocketNetworkOptions =
        {},
): PeerNetwork {
    const options: SocketOptions = { maxPayload: frameLimitBytes, perMessageDeflate: false };
    return {
        connect: (address, port) => connect(address, port, connectTimeoutMs, options),
        listen: (address, port, onConnection) => openListener(address, port, onConnection, options),
    };
}

async function openListener(
    address: string,
    port: number,
    onConnection: (connection: FrameConnection) => void,
    options: SocketOptions,
): Promise<PeerListener> {
    const httpServer = createServer((_request, response) => {
        response.writeHead(UPGRADE_REQUIRED_STATUS, { "connection": "close", "content-length": 0 }).end();
    });
    const server = new WebSocketServer({ ...options, clientTracking: true, server: httpServer });
    server.on("connection", (socket, request) => onConnection(wrapSocket(socket, () => request.socket.bytesRead)));
    await new Promise<void>((resolve, reject) => {
        server.once("listening", resolve);
        server.once("error", reject);
        httpServer.listen(port, address);
    });
    return {
        close: () => closeServer(server, httpServer),
        port: (httpServer.address() as AddressInfo).port,
    };
}

async function closeServer(server: WebSocketServer, httpServer: Server): Promise<void> {
    for (const socket of server.clients) {
        socket.terminate();
    }
    server.close();
    await new Promise<void>(resolve => {
        httpServer.close(() => resolve());
        // A connection that never asks for an upgrade would keep the server open.
        httpServer.closeAllConnections();
    });
}

async function connect(
    address: string,
    port: number,
    timeoutMs: number,
    options: SocketOptions,
): Promise<FrameConnection> {
    const host = address.includes(":") ? `[${address}]` : address;
    const socket = new WebSocket(`ws://${host}:${port}`, {
        ...options,
        // Masking protects proxies between browsers and servers; a zero mask, with which frames are not copied, is valid.
        generateMask: () => undefined,
    });
    let stream: Socket | undefined;
    socket.once("upgrade", response => {
        stream = response.socket;
    });
    const connection = wrapSocket(socket, () => stream?.bytesRead ?? 0);
    await new Promise<void>((resolve, reject) => {
        const cancelTimeout = scheduleTimeout(realTimers, timeoutMs, () => {
            reject(new Error(`the opening handshake with ${host}:${port} has timed out`));
            socket.terminate();
        });
        socket.once("open", () => {
            cancelTimeout();
            resolve();
        });
        socket.once("error", reject);
        socket.once("close", () => {
            cancelTimeout();
            reject(new Error(`the connection to ${host}:${port} was closed before it was open`));
        });
    });
    return connection;
}

function wrapSocket(socket: WebSocket, getReceivedBytes: () => number): FrameConnection {
    const frames = new FrameQueue(isFull => {
        if (isFull) {
            socket.pause();
        }
        else {
            socket.resume();
        }
    });
    socket.binaryType = "nodebuffer";
    socket.on("message", data => frames.push(data as Buffer));
    socket.on("close", () => frames.end());
    // An error is followed by `close`; without a listener it would crash the process.
    socket.on("error", () => frames.end());
    return {
        close: () => closeSocket(socket),
        getBufferedBytes: () => socket.bufferedAmount,
        getReceivedBytes,
        frames,
        send(frame) {
            if (socket.readyState === WebSocket.OPEN) {
                socket.send(frame);
            }
        },
    };
}

/** Closes the socket after the messages already passed to it, for example a redirect, were sent. */
function closeSocket(socket: WebSocket): void {
    if (socket.readyState === WebSocket.CONNECTING) {
        socket.terminate();
        return;
    }
    socket.close();
    setTimeout(() => socket.terminate(), CLOSE_TIMEOUT_MS).unref();
}
