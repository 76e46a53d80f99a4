/** Small HTTP ports beside the callers' one: readiness, reports of the backend server, metrics. */
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { HostAndPort } from "../settings/index.js";

/** A call with its whole body. */
export interface EndpointRequest {
    readonly method: string;
    readonly path: string;
    readonly body: string;
}

export interface EndpointAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

export type EndpointHandler = (call: EndpointRequest) => EndpointAnswer;

/** Reports are a few hundred bytes. */
const BODY_LIMIT_BYTES = 65_536;
const TOO_LARGE_STATUS = 413;

/** Opens a port that answers each call from its whole body. Rejects when the port can't be bound. */
export function openEndpoint({ host, port }: HostAndPort, answer: EndpointHandler): Promise<Server> {
    const server = createServer((request, response) => {
        const parts: Buffer[] = [];
        let length = 0;
        request.on("data", (part: Buffer) => {
            length += part.length;
            if (length <= BODY_LIMIT_BYTES) {
                parts.push(part);
            }
        });
        request.on("end", () => {
            const body = Buffer.concat(parts).toString("utf8");
            const reply = length > BODY_LIMIT_BYTES
                ? { body: "", contentType: "text/plain", status: TOO_LARGE_STATUS }
                : answer({ body, method: request.method ?? "", path: request.url ?? "" });
            response.writeHead(reply.status, {
                "content-length": Buffer.byteLength(reply.body),
                "content-type": reply.contentType,
            });
            response.end(reply.body);
        });
        // A call that breaks off gets no answer; nothing was taken from it.
        request.on("error", () => response.destroy());
    });
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.off("error", reject);
            resolve(server);
        });
    });
}
