/** Checks each request before its body is read: session, origin and, for forms, the form token. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import type { Session, SessionManager } from "./SessionManager.js";

/** The `__Host-` prefix needs https, which a console on loopback doesn't have. */
export const COOKIE_NAME = "papayaturn-session";

/** Paths that need no session: the sign-in form and the style of its page. */
const PUBLIC_PATHS: ReadonlySet<string> = new Set(["/sign-in", "/console.css", "/console.js"]);

const FORM_CONTENT_TYPE = "application/x-www-form-urlencoded";

/** A document of 8 MB whose characters are all escaped in the form as `%XX`. */
const MAXIMUM_FORM_BYTES = 24_000_000;

const sessionsByRequest = new WeakMap<FastifyRequest, Session>();

/** Returns the session that the hooks found for a request. */
export function getSession(request: FastifyRequest): Session {
    const session = sessionsByRequest.get(request);
    if (session === undefined) {
        throw new Error(`No session for ${request.url}.`);
    }
    return session;
}

function readCookieValue(request: FastifyRequest): string {
    const pairs = (request.headers.cookie ?? "").split(";").map(pair => pair.trim().split("="));
    return pairs.find(([name]) => name === COOKIE_NAME)?.slice(1).join("=") ?? "";
}

/** Reads the host of an origin; undefined for "null" and other origins without one. */
function readOriginHost(origin: string): string | undefined {
    return URL.canParse(origin) ? new URL(origin).host : undefined;
}

/**
 * A browser states the origin of a form; a request without it comes from no browser page. The scheme
 * is not compared, because a proxy may add https.
 */
function isOwnOrigin(request: FastifyRequest): boolean {
    const { host, origin } = request.headers;
    const site = request.headers["sec-fetch-site"];
    const isSameOrigin = origin === undefined || readOriginHost(origin) === host;
    return isSameOrigin && (site === undefined || site === "same-origin" || site === "none");
}

/** True when the request names the console by a host it listens on, against DNS rebinding. */
function isAllowedHost(request: FastifyRequest, hosts: ReadonlySet<string>): boolean {
    return hosts.size === 0 || hosts.has(request.hostname);
}

export interface AccessOptions {
    readonly sessions: SessionManager;
    /** Host names by which the console is reached; empty for any. */
    readonly hosts: ReadonlySet<string>;
    readonly now: () => number;
    /** Answers a form that was sent without a session; the form itself must not be lost. */
    readonly answerEndedSession: (reply: FastifyReply) => FastifyReply;
}

function sendForbidden(reply: FastifyReply, detail: string): FastifyReply {
    return reply.code(403).type("text/plain; charset=utf-8").send(`${detail}\n`);
}

/** Installs the hooks and the parser of forms. */
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
