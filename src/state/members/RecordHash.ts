import type { Member } from "./Member.js";

/** The 21 high bits that a JavaScript number represents exactly together with a 32-bit low word. */
const HIGH_WORD_MASK = 0x1F_FFFF;
const HIGH_WORD_FACTOR = 0x1_0000_0000;

/** Hashes a text to 32 bits (FNV-1a with a final avalanche). */
export function hashText(text: string, seed: number): number {
    let hash = (0x811C9DC5 ^ seed) >>> 0;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85EBCA6B);
    hash = Math.imul(hash ^ (hash >>> 13), 0xC2B2AE35);
    return (hash ^ (hash >>> 16)) >>> 0;
}

/** Digest of a set: the XOR of its elements' hashes, as two words. */
export interface DigestWords {
    high: number;
    low: number;
}

/** Adds a text to the set, or removes it if it is present, by XOR with its hash. */
export function toggleHash(words: DigestWords, text: string): void {
    words.high = (words.high ^ (hashText(text, 0x5BD1E995) & HIGH_WORD_MASK)) >>> 0;
    words.low = (words.low ^ hashText(text, 0)) >>> 0;
}

/** Combines the words of a digest into one exact integer. */
export function toDigest(words: DigestWords): number {
    return words.high * HIGH_WORD_FACTOR + words.low;
}

/** Formats the text whose hash distinguishes two records of one daemon. */
export function formatRecordKey(member: Member): string {
    return `${member.id} ${member.incarnation} ${member.revision} ${member.state}`;
}
