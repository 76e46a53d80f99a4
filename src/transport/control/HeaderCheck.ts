import type { FastifyInstance } from "fastify";
import { isValidHeaderList } from "../../protocol/request/index.js";

const BAD_REQUEST_STATUS = 400;

/** Refuses requests with a malformed header; Node.js's own parser lets some pass, depending on the processor. */
export function registerHeaderCheck(server: FastifyInstance): void {
    server.addHook("onRequest", async (request, reply) =>
        isValidHeaderList(request.raw.rawHeaders)
            ? undefined
            : reply.code(BAD_REQUEST_STATUS).header("connection", "close").send({
                findings: ["The name or the value of a header is malformed."],
            }));
}
