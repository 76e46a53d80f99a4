import { createHash, createHmac, timingSafeEqual } from "node:crypto";

const TOKEN_PURPOSE = "papayaturn relay v1";

/** Token that members of the mesh add to relayed requests; derived from the mesh key. */
export function deriveRelayToken(meshKey: string): string {
    return createHmac("sha256", meshKey).update(TOKEN_PURPOSE).digest("base64url");
}

/** Compares in constant time, whatever the length of the offered token. */
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
