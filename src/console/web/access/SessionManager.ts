/** Stateless sessions: a signed cookie names the operator, and the form token is derived from that name. */
import { createHmac, timingSafeEqual } from "node:crypto";

/** Session of a signed-in operator. */
export interface Session {
    readonly operator: string;
    /** Anti-forgery token of forms; it outlives the session, so that a form can be submitted after signing in again. */
    readonly formToken: string;
}

export interface SessionManager {
    /** Checks the token that an operator entered to sign in. */
    verifyToken(text: string): boolean;
    /** Creates a signed cookie value. */
    createCookie(operator: string, now: number): string;
    /** Returns the session of a cookie value; undefined when it is forged or expired. */
    verifyCookie(value: string, now: number): Session | undefined;
    verifyFormToken(session: Session, text: string): boolean;
}

/** Covers a working day; the operator then signs in again. */
export const SESSION_LIFETIME_MS = 12 * 60 * 60 * 1_000;

function computeMac(key: string, purpose: string, text: string): string {
    return createHmac("sha256", key).update(`${purpose}\n${text}`).digest("base64url");
}

/** Compares keyed hashes of both texts, so that the timing reveals neither content nor length. */
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

/** Creates sessions signed with the token, so that a new token invalidates all of them. */
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
            const content = parsePayload(payload);
            return content === undefined || now - content.issuedAt > SESSION_LIFETIME_MS
                ? undefined
                : { formToken: computeMac(token, "form", content.operator), operator: content.operator };
        },
        verifyFormToken: (session, text) => isEqualInConstantTime(token, text, session.formToken),
        verifyToken: text => isEqualInConstantTime(token, text, token),
    };
}
