/**
 * Recognizes requests that come again under other ids. A fingerprint begins with a prefix that costs little, so that the
 * hash of a body is computed only for the few requests whose prefix is known.
 */
import { createHash } from "node:crypto";
import { computeRendezvousHash } from "../../state/shared/index.js";

/** Parts of a request that are the same when it comes again. */
export interface FingerprintSource {
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    /** Names and values alternate. */
    readonly headers: readonly string[];
    readonly body: Uint8Array;
    /** Service on whose behalf the request is sent. */
    readonly callerService: string;
}

const PREFIX_LENGTH = 7;
const PREFIX_RADIX = 36;
const DIGEST_BYTES = 12;
const SEPARATOR = "\0";
const FINGERPRINT_PATTERN = /^[0-9a-z]{7}[A-Za-z0-9_-]{16}$/;

/** Computes the prefix of a request's fingerprint from its method and target alone. */
export function computeFingerprintPrefix({ method, target }: Pick<FingerprintSource, "method" | "target">): string {
    return computeRendezvousHash(method, target).toString(PREFIX_RADIX).padStart(PREFIX_LENGTH, "0");
}

/** Hashes method, host, target, caller and body of a request. */
export function computeFingerprint(source: FingerprintSource): string {
    const digest = createHash("sha256")
        .update([source.method, findHost(source.headers), source.target, source.callerService, ""].join(SEPARATOR))
        .update(source.body)
        .digest()
        .subarray(0, DIGEST_BYTES)
        .toString("base64url");
    return computeFingerprintPrefix(source) + digest;
}

export function isFingerprint(text: string): boolean {
    return FINGERPRINT_PATTERN.test(text);
}

export function getFingerprintPrefix(fingerprint: string): string {
    return fingerprint.slice(0, PREFIX_LENGTH);
}

function findHost(headers: readonly string[]): string {
    for (let index = 0; index + 1 < headers.length; index += 2) {
        if (headers[index]?.toLowerCase() === "host") {
            return headers[index + 1]?.toLowerCase() ?? "";
        }
    }
    return "";
}
