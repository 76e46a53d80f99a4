/** Sign-in and sign-out. */
import { Body, Controller, Get, Inject, Post, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { COOKIE_NAME, getSession, SESSION_LIFETIME_MS } from "../access/index.js";
import { renderSignInPage } from "../pages/index.js";
import type { ConsoleContext } from "./ConsoleContext.js";
import { CONSOLE_CONTEXT, sendPage } from "./ConsoleContext.js";

const MAXIMUM_OPERATOR_LENGTH = 64;
const MS_PER_SECOND = 1_000;

/** Removes control characters, because the name is written to the history and the log. */
function normalizeOperatorName(text: string): string {
    return text.replaceAll(/\p{C}/gu, "").trim().slice(0, MAXIMUM_OPERATOR_LENGTH);
}

/** Formats the `Set-Cookie` header; `Secure` is set only when a proxy serves the console over HTTPS. */
function formatCookie(value: string, lifetimeMs: number, request: FastifyRequest): string {
    const age = Math.floor(lifetimeMs / MS_PER_SECOND);
    const secure = request.headers.origin?.startsWith("https:") ? "; Secure" : "";
    return `${COOKIE_NAME}=${value}; HttpOnly; SameSite=Strict; Path=/; Max-Age=${age}${secure}`;
}

@Controller()
export class SessionController {
    constructor(@Inject(CONSOLE_CONTEXT) private readonly context: ConsoleContext) {}

    @Get("sign-in")
    showForm(@Res() reply: FastifyReply): void {
        sendPage(reply, 200, renderSignInPage(""));
    }

    @Post("sign-in")
    signIn(@Body() body: unknown, @Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
        const fields = body instanceof URLSearchParams ? body : new URLSearchParams();
        const operator = normalizeOperatorName(fields.get("operator") ?? "");
        if (operator === "") {
            sendPage(reply, 422, renderSignInPage("", "Enter your name."));
            return;
        }
        if (!this.context.sessions.verifyToken(fields.get("token") ?? "")) {
            this.context.logInfo(`rejected a sign-in as ${operator}: wrong token.`, { operator });
            sendPage(reply, 403, renderSignInPage(operator, "This is not the console's token."));
            return;
        }
        this.context.logInfo(`${operator} signed in.`, { operator });
        const cookie = this.context.sessions.createCookie(operator, this.context.now());
        reply.header("set-cookie", formatCookie(cookie, SESSION_LIFETIME_MS, request)).redirect("/", 303);
    }

    @Post("sign-out")
    signOut(@Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
        const { operator } = getSession(request);
        this.context.logInfo(`${operator} signed out.`, { operator });
        reply.header("set-cookie", formatCookie("", 0, request)).redirect("/sign-in", 303);
    }
}
