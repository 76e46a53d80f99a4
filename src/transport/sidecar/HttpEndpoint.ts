/** HTTP endpoints besides the callers' port: readiness, reports of the backend server, metrics. */
import { createServer } from "node:http";
import type { Server } from "node:http";
import { isValidHeaderList } from "../../protocol/request/index.js";
import { registerPacedRequests } from "../input/index.js";
import type { CostlyReads } from "../input/index.js";
import type { HostAndPort } from "../settings/index.js";

/** A request with its whole body. */
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

/** Far above the size of a report, which has a few hundred bytes. */
const BODY_LIMIT_BYTES = 65_536;
const BAD_REQUEST_STATUS = 400;
const TOO_LARGE_STATUS = 413;

/** Opens a port that answers each request once its body is complete. Rejects when the port can't be bound. */
export function openEndpoint(
    { host, port }: HostAndPort,
    handle: EndpointHandler,
    costlyReads: CostlyReads,
    now: () => number,
): Promise<Server> {
    const server = createServer((request, response) => {
        if (!isValidHeaderList(request.rawHeaders)) {
            response.writeHead(BAD_REQUEST_STATUS, { "connection": "close", "content-length": 0 }).end();
            return;
        }
        const chunks: Buffer[] = [];
        let length = 0;
        request.on("data", (chunk: Buffer) => {
            length += chunk.length;
            if (length <= BODY_LIMIT_BYTES) {
                chunks.push(chunk);
            }
            else if (!response.headersSent) {
                // The rest isn't waited for: it may have no end.
                response.writeHead(TOO_LARGE_STATUS, { "connection": "close", "content-length": 0 }).end();
            }
        });
        request.on("end", () => {
            if (response.headersSent) {
                return;
            }
            const body = Buffer.concat(chunks).toString("utf8");
            const answer = handle({ body, method: request.method ?? "", path: request.url ?? "" });
            response.writeHead(answer.status, {
                "content-length": Buffer.byteLength(answer.body),
                "content-type": answer.contentType,
            });
            response.end(answer.body);
        });
        // An aborted request gets no answer and has no effect.
        request.on("error", () => response.destroy());
    });
    registerPacedRequests(server, costlyReads, now);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.off("error", reject);
            resolve(server);
        });
    });
}
