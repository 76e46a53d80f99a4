/** Web console for operators: forms, history and convergence pages over a configuration port. */
import "reflect-metadata";
import helmet from "@fastify/helmet";
import { Module } from "@nestjs/common";
import { NestFactory } from "@nestjs/core";
import type { NestFastifyApplication } from "@nestjs/platform-fastify";
import { FastifyAdapter } from "@nestjs/platform-fastify";
import type { FastifyInstance } from "fastify";
import { registerHeaderCheck } from "../../transport/control/index.js";
import type { WriteLog } from "../../transport/logging/index.js";
import { createSessionManager, registerAccessHooks } from "./access/index.js";
import type { ConsoleContext } from "./controllers/index.js";
import {
    AssetsController,
    CONSOLE_CONTEXT,
    ConvergenceController,
    DocumentController,
    DraftResponder,
    EditController,
    ErrorPageFilter,
    HistoryController,
    sendPage,
    SessionController,
} from "./controllers/index.js";
import { renderEndedSessionPage } from "./pages/index.js";
import type { ConfigurationPort } from "./ports/index.js";

export interface ConsoleOptions {
    readonly port: ConfigurationPort;
    /** Token with which operators sign in. */
    readonly token: string;
    readonly now: () => number;
    readonly logInfo: WriteLog;
    readonly logError: WriteLog;
    /** Allowed values of the Host header, without port; empty allows any. */
    readonly hosts: ReadonlySet<string>;
}

const ENDED_SESSION_STATUS = 401;

/** Allows resources of the console's own origin only; the pages contain no inline script or style. */
const CONTENT_SECURITY_POLICY = {
    baseUri: ["'none'"],
    connectSrc: ["'self'"],
    defaultSrc: ["'none'"],
    formAction: ["'self'"],
    frameAncestors: ["'none'"],
    imgSrc: ["'self'"],
    scriptSrc: ["'self'"],
    styleSrc: ["'self'"],
};

function createConsoleModule(context: ConsoleContext): object {
    class ConsoleModule {}
    Module({
        controllers: [
            AssetsController,
            ConvergenceController,
            DocumentController,
            EditController,
            HistoryController,
            SessionController,
        ],
        providers: [{ provide: CONSOLE_CONTEXT, useValue: context }, DraftResponder],
    })(ConsoleModule);
    return ConsoleModule;
}

async function registerSecurityHeaders(server: FastifyInstance): Promise<void> {
    await server.register(helmet, {
        contentSecurityPolicy: { directives: CONTENT_SECURITY_POLICY, useDefaults: false },
        // With `no-referrer`, browsers submit forms with the origin "null", which the origin check rejects.
        referrerPolicy: { policy: "same-origin" },
        // The console serves plain HTTP; a proxy that terminates TLS sets this header itself.
        strictTransportSecurity: false,
        xFrameOptions: { action: "deny" },
    });
    server.addHook("onSend", async (_request, reply) => {
        void reply.header("cache-control", "no-store");
    });
}

/** Creates the console server; the caller starts listening. */
export async function createConsole(options: ConsoleOptions): Promise<NestFastifyApplication> {
    const { hosts, logError, logInfo, now, port, token } = options;
    const adapter = new FastifyAdapter({ forceCloseConnections: true });
    const server = adapter.getInstance();
    const sessions = createSessionManager(token);
    await registerSecurityHeaders(server as unknown as FastifyInstance);
    registerHeaderCheck(server as unknown as FastifyInstance);
    registerAccessHooks(server as unknown as FastifyInstance, {
        answerEndedSession: reply => sendPage(reply, ENDED_SESSION_STATUS, renderEndedSessionPage()),
        hosts,
        now,
        sessions,
    });
    const app = await NestFactory.create<NestFastifyApplication>(
        createConsoleModule({ logInfo, now, port, sessions }),
        adapter,
        { bodyParser: false, logger: ["error", "warn"] },
    );
    app.useGlobalFilters(new ErrorPageFilter(logError));
    await app.init();
    return app;
}
