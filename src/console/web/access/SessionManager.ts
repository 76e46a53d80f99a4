/** Sessions without state: a signed cookie names the operator, and a form token is derived from the name. */
import { createHmac, timingSafeEqual } from "node:crypto";

/** An operator who signed in. */
export interface Session {
    readonly operator: string;
    /** Token that each form carries; it outlives the session, so that a form can be sent after signing in again. */
    readonly formToken: string;
}

export interface SessionManager {
    /** True when the text is the console's token. */
    verifyToken(text: string): boolean;
    /** Creates the value of the cookie. */
    createCookie(operator: string, now: number): string;
    /** Reads a cookie value; undefined when it is forged or expired. */
    verifyCookie(value: string, now: number): Session | undefined;
    verifyFormToken(session: Session, text: string): boolean;
}

/** Sessions end with a working day; the operator then signs in again. */
export const SESSION_LIFETIME_MS = 12 * 60 * 60 * 1_000;

function computeMac(key: string, purpose: string, text: string): string {
    return createHmac("sha256", key).update(`${purpose}\n${text}`).digest("base64url");
}

/** Compares hashes of both texts, so that neither content nor length shows in the time taken. */
function isEqualInConstantTime(key: string, first: string, second: string): boolean {
    const [left, right] = [first, second].map(text => createHmac("sha256", key).update(text).digest());
    return left !== undefined && right !== undefined && timingSafeEqual(left, right);
}

function parsePayload(payload: string): { readonly operator: string; readonly issuedAt: number; } | undefined {
    try {
        return JSON.parse(Buffer.from(payload, "base64url").toString()) as { operator: string; issuedAt: number; };
    }
    catch {
        return undefined;
    }
}

/** Creates the sessions that a token opens. The token is the signing key, so that a new token ends them all. */
export function createSessionManager(token: string): SessionManager {
    return {
        createCookie(operator, now) {
            const payload = Buffer.from(JSON.stringify({ issuedAt: now, operator })).toString("base64url");
            return `${payload}.${computeMac(token, "session", payload)}`;
        },
        verifyCookie(value, now) {
            const [payload = "", mac = ""] = value.split(".");
            if (!isEqualInConstantTime(token, mac, computeMac(token, "session", payload))) {
                return undefined;
            }
            const read = parsePayload(payload);
            return read === undefined || now - read.issuedAt > SESSION_LIFETIME_MS
                ? undefined
                : { formToken: computeMac(token, "form", read.operator), operator: read.operator };
        },
        verifyFormToken: (session, text) => isEqualInConstantTime(token, text, session.formToken),
        verifyToken: text => isEqualInConstantTime(token, text, token),
    };
}
