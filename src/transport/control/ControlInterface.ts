/**
 * The daemon's control interface: announcements of its backend server (loopback only) and the
 * operators' calls (bearer token). All findings about a body are reported together.
 */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { createHash, timingSafeEqual } from "node:crypto";
import { isIP } from "node:net";
import type { ServerStateTracker } from "../../coordination/renewal/index.js";
import { AnnounceBody, ExplainQuery, LeavingBody, RenewBody, StatusQuery } from "./ControlMessages.js";
import { registerHeaderCheck } from "./HeaderCheck.js";
import { TokenBucket } from "./TokenBucket.js";

const BODY_LIMIT_BYTES = 16 * 1024;
/** A server sends about one call per second; a rate above this limit indicates a fault of the server. */
const ANNOUNCEMENTS_PER_SECOND = 20;

export interface ControlHealth {
    /** Whether the daemon proxies requests. */
    readonly ready: boolean;
    readonly detail: string;
}

export interface ControlOptions {
    readonly host: string;
    /** 0 selects a free port. */
    readonly port: number;
    /** Bearer token of operators' calls. */
    readonly token: string;
    readonly serverWatch: ServerStateTracker;
    readonly readStatus: (scope: StatusQuery["scope"]) => unknown;
    readonly readHistograms: () => unknown;
    readonly readMembers: () => unknown;
    readonly readHealth: () => ControlHealth;
    readonly explain: (query: ExplainQuery) => unknown;
}

export interface ControlInterface {
    readonly port: number;
    stop(): Promise<void>;
}

/** Compares digests, so that the duration of the comparison reveals nothing about the token. */
function isAuthorized(presented: string | undefined, token: string): boolean {
    const digest = (text: string): Buffer => createHash("sha256").update(text).digest();
    return presented !== undefined && timingSafeEqual(digest(presented), digest(`Bearer ${token}`));
}

function isLoopback(address: string): boolean {
    const plain = address.replace(/^::ffff:/, "");
    return plain === "::1" || (isIP(plain) === 4 && plain.startsWith("127."));
}

function answerFailure(reply: FastifyReply, status: number, message: string): FastifyReply {
    return reply.code(status).send({ findings: [message] });
}

/** Registers the routes for the daemon's backend server. */
function registerServerRoutes(app: FastifyInstance, { serverWatch }: ControlOptions): void {
    const tokenBucket = new TokenBucket(ANNOUNCEMENTS_PER_SECOND, Date.now());
    const onRequest = async (request: FastifyRequest, reply: FastifyReply): Promise<void> => {
        if (!isLoopback(request.ip)) {
            await answerFailure(reply, 403, "Only the backend server on the same VM may announce itself.");
        }
        else if (!tokenBucket.tryTake(Date.now())) {
            await answerFailure(reply, 429, `At most ${ANNOUNCEMENTS_PER_SECOND} calls a second are accepted.`);
        }
    };
    const answer = (reply: FastifyReply, known: boolean): FastifyReply =>
        known ? reply.send({}) : answerFailure(reply, 404, "No backend server is announced here.");

    app.post<{ Body: AnnounceBody; }>(
        "/v1/announce",
        { onRequest, schema: { body: AnnounceBody } },
        (request, reply) => {
            const { state, ...record } = request.body;
            return serverWatch.announce(record, state, Date.now())
                ? reply.send({})
                : answerFailure(reply, 503, "The daemon is stopping.");
        },
    );
    app.post<{ Body: RenewBody; }>(
        "/v1/renew",
        { onRequest, schema: { body: RenewBody } },
        (request, reply) => answer(reply, serverWatch.renew(request.body.load, Date.now())),
    );
    app.post<{ Body: LeavingBody; }>(
        "/v1/leaving",
        { onRequest, schema: { body: LeavingBody } },
        (request, reply) => answer(reply, request.body.finished ? serverWatch.markLeft() : serverWatch.markLeaving()),
    );
}

/** Registers the routes for operators, the command line and the console. */
function registerOperatorRoutes(app: FastifyInstance, options: ControlOptions): void {
    const onRequest = async (request: FastifyRequest, reply: FastifyReply): Promise<void> => {
        if (!isAuthorized(request.headers.authorization, options.token)) {
            await answerFailure(reply.header("www-authenticate", "Bearer"), 401, "A bearer token is required.");
        }
    };
    app.get<{ Querystring: StatusQuery; }>(
        "/v1/status",
        { onRequest, schema: { querystring: StatusQuery } },
        async (request, reply) => reply.send(await options.readStatus(request.query.scope)),
    );
    app.get("/v1/histograms", { onRequest }, (_request, reply) => reply.send(options.readHistograms()));
    app.get("/v1/members", { onRequest }, (_request, reply) => reply.send(options.readMembers()));
    app.get<{ Querystring: ExplainQuery; }>(
        "/v1/explain",
        { onRequest, schema: { querystring: ExplainQuery } },
        (request, reply) => reply.send(options.explain(request.query)),
    );
}

function registerErrorHandlers(app: FastifyInstance): void {
    app.setErrorHandler(
        (
            error: Error & { statusCode?: number; validation?: { instancePath: string; message?: string; }[]; },
            _request,
            reply,
        ) => {
            const findings = error.validation?.map(finding =>
                `${finding.instancePath || "/"}: ${finding.message ?? "invalid"}`
            );
            return reply.code(error.statusCode ?? 500).send({ findings: findings ?? [error.message] });
        },
    );
    app.setNotFoundHandler((_request, reply) => answerFailure(reply, 404, "There is no such call."));
}

/** Starts the control interface. Fastify is imported here so that the rest of the daemon starts without it. */
export async function startControlInterface(options: ControlOptions): Promise<ControlInterface> {
    const { fastify } = await import("fastify");
    const app = fastify({
        ajv: { customOptions: { allErrors: true, coerceTypes: false, removeAdditional: false } },
        bodyLimit: BODY_LIMIT_BYTES,
        forceCloseConnections: true,
    });
    registerErrorHandlers(app);
    registerHeaderCheck(app);
    registerServerRoutes(app, options);
    registerOperatorRoutes(app, options);
    app.get("/v1/health", (_request, reply) => {
        const health = options.readHealth();
        return reply.code(health.ready ? 200 : 503).send(health);
    });
    await app.listen({ host: options.host, port: options.port });
    const address = app.server.address();
    return {
        port: typeof address === "object" && address !== null ? address.port : options.port,
        stop: () => app.close(),
    };
}
