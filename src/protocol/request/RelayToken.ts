import { createHash, createHmac, timingSafeEqual } from "node:crypto";

const TOKEN_PURPOSE = "papayaturn relay v1";

/** Derives from the mesh key the token that members add to relayed requests. */
export function deriveRelayToken(meshKey: string): string {
    return createHmac("sha256", meshKey).update(TOKEN_PURPOSE).digest("base64url");
}

/** Compares tokens in constant time, regardless of the length of the presented one. */
export function verifyRelayToken(presented: string | string[] | undefined, expected: string): boolean {
    if (typeof presented !== "string") {
        return false;
    }
    if (presented.length === expected.length) {
        return timingSafeEqual(Buffer.from(presented, "latin1"), Buffer.from(expected, "latin1"));
    }
    return timingSafeEqual(hashText(presented), hashText(expected));
}

function hashText(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
