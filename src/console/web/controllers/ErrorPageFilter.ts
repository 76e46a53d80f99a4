/** Renders request errors as pages. */
import type { ArgumentsHost, ExceptionFilter } from "@nestjs/common";
import { Catch, HttpException } from "@nestjs/common";
import type { FastifyReply } from "fastify";
import type { WriteLog } from "../../../transport/logging/index.js";
import { renderErrorPage } from "../pages/index.js";
import { sendPage } from "./ConsoleContext.js";

const INTERNAL_ERROR_STATUS = 500;

/** Returns the HTTP status of a Nest or Fastify error, and 500 for any other error. */
function getErrorStatus(error: unknown): number {
    if (error instanceof HttpException) {
        return error.getStatus();
    }
    const { statusCode } = (error ?? {}) as { readonly statusCode?: unknown; };
    return typeof statusCode === "number" ? statusCode : INTERNAL_ERROR_STATUS;
}

@Catch()
export class ErrorPageFilter implements ExceptionFilter {
    constructor(private readonly logError: WriteLog) {}

    catch(error: unknown, host: ArgumentsHost): void {
        const status = getErrorStatus(error);
        const isServerError = status >= INTERNAL_ERROR_STATUS;
        if (isServerError) {
            this.logError("request failed with an internal error.", { error });
        }
        const text = isServerError ? "The console failed on this request; its log says why." : (error as Error).message;
        sendPage(
            host.switchToHttp().getResponse<FastifyReply>(),
            status,
            renderErrorPage(undefined, "Not possible", text),
        );
    }
}
