/** Dependencies that all controllers share; the console itself is stateless. */
import type { FastifyReply } from "fastify";
import type { WriteLog } from "../../../transport/logging/index.js";
import type { SessionManager } from "../access/index.js";
import type { ConfigurationPort } from "../ports/index.js";

/** Injection token of `ConsoleContext`. */
export const CONSOLE_CONTEXT = Symbol("console context");

export interface ConsoleContext {
    readonly port: ConfigurationPort;
    readonly sessions: SessionManager;
    readonly now: () => number;
    readonly logInfo: WriteLog;
}

/** Sends an HTML page. */
export function sendPage(reply: FastifyReply, status: number, html: string): FastifyReply {
    return reply.code(status).type("text/html; charset=utf-8").send(html);
}
