import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Requests of each connection whose answers are not complete; a refusal of later bytes would mix with them. */
export class OpenRequests {
    readonly #bySocket = new WeakMap<Socket, Set<IncomingMessage>>();

    add(request: IncomingMessage, response: ServerResponse): void {
        const requests = this.#bySocket.get(request.socket) ?? new Set();
        this.#bySocket.set(request.socket, requests.add(request));
        response.once("close", () => requests.delete(request));
    }

    has(socket: Socket): boolean {
        return (this.#bySocket.get(socket)?.size ?? 0) > 0;
    }

    /** Whether a connection has an open request that was read completely, so that it may run. */
    hasWhole(socket: Socket): boolean {
        return [...this.#bySocket.get(socket) ?? []].some(({ complete }) => complete);
    }
}
