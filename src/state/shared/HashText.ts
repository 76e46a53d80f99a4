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
