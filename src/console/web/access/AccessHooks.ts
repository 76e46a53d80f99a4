/** Checks the host, origin and session of each request before its body is read, and then the form token. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import type { Session, SessionManager } from "./SessionManager.js";

/** Without the `__Host-` prefix, which requires HTTPS: a console on loopback serves plain HTTP. */
export const COOKIE_NAME = "papayaturn-session";

/** Paths that need no session: the sign-in form with its style sheet and script. */
const PUBLIC_PATHS: ReadonlySet<string> = new Set(["/sign-in", "/console.css", "/console.js"]);

const FORM_CONTENT_TYPE = "application/x-www-form-urlencoded";

/** Fits a document of 8 MB with every byte percent-encoded as `%XX`. */
const MAXIMUM_FORM_BYTES = 24_000_000;

const sessionsByRequest = new WeakMap<FastifyRequest, Session>();

/** Returns the session that the hooks attached to a request. */
export function getSession(request: FastifyRequest): Session {
    const session = sessionsByRequest.get(request);
    if (session === undefined) {
        throw new Error(`No session is attached to the request for ${request.url}; the access hooks set it.`);
    }
    return session;
}

function readCookieValue(request: FastifyRequest): string {
    const pairs = (request.headers.cookie ?? "").split(";").map(pair => pair.trim().split("="));
    return pairs.find(([name]) => name === COOKIE_NAME)?.slice(1).join("=") ?? "";
}

/** Returns the host of an origin; undefined for "null" and other origins without a host. */
function readOriginHost(origin: string): string | undefined {
    return URL.canParse(origin) ? new URL(origin).host : undefined;
}

/**
 * Protects against cross-site request forgery. Browsers send the origin with each form; a request
 * without one does not come from a web page. The scheme is not compared, because a proxy may
 * terminate TLS.
 */
function isOwnOrigin(request: FastifyRequest): boolean {
    const { host, origin } = request.headers;
    const site = request.headers["sec-fetch-site"];
    const isSameOrigin = origin === undefined || readOriginHost(origin) === host;
    return isSameOrigin && (site === undefined || site === "same-origin" || site === "none");
}

/** Protects against DNS rebinding: a foreign name that resolves to the console is not allowed. */
function isAllowedHost(request: FastifyRequest, hosts: ReadonlySet<string>): boolean {
    return hosts.size === 0 || hosts.has(request.hostname);
}

export interface AccessOptions {
    readonly sessions: SessionManager;
    /** Allowed values of the Host header, without port; empty allows any. */
    readonly hosts: ReadonlySet<string>;
    readonly now: () => number;
    /** Answers a form that was submitted without a valid session; the operator must be able to submit it again. */
    readonly answerEndedSession: (reply: FastifyReply) => FastifyReply;
}

function sendForbidden(reply: FastifyReply, detail: string): FastifyReply {
    return reply.code(403).type("text/plain; charset=utf-8").send(`${detail}\n`);
}

/** Registers the access checks and the parser of form bodies. */
export function registerAccessHooks(server: FastifyInstance, options: AccessOptions): void {
    server.addContentTypeParser(
        FORM_CONTENT_TYPE,
        { bodyLimit: MAXIMUM_FORM_BYTES, parseAs: "string" },
        (_request, body, done) => done(null, new URLSearchParams(String(body))),
    );
    server.addHook("onRequest", async (request, reply) => {
        const path = request.url.split("?")[0] ?? "";
        if (!isAllowedHost(request, options.hosts)) {
            return sendForbidden(reply, "The console is not reached by this host name.");
        }
        if (request.method !== "GET" && request.method !== "HEAD" && !isOwnOrigin(request)) {
            return sendForbidden(reply, "The form was sent from a foreign page.");
        }
        const session = options.sessions.verifyCookie(readCookieValue(request), options.now());
        if (session !== undefined) {
            sessionsByRequest.set(request, session);
            return undefined;
        }
        if (PUBLIC_PATHS.has(path)) {
            return undefined;
        }
        return request.method === "POST" ? options.answerEndedSession(reply) : reply.redirect("/sign-in", 303);
    });
    server.addHook("preHandler", async (request, reply) => {
        const session = sessionsByRequest.get(request);
        if (request.method !== "POST" || session === undefined || request.url === "/sign-in") {
            return undefined;
        }
        const token = request.body instanceof URLSearchParams ? request.body.get("formToken") ?? "" : "";
        return options.sessions.verifyFormToken(session, token)
            ? undefined
            : sendForbidden(reply, "The form has no valid token; reload the page and send it again.");
    });
}
