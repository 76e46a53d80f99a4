import { hashText } from "../shared/index.js";
import type { Member } from "./Member.js";

/** The 21 high bits that a JavaScript number represents exactly together with a 32-bit low word. */
const HIGH_WORD_MASK = 0x1F_FFFF;
const HIGH_WORD_FACTOR = 0x1_0000_0000;

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
