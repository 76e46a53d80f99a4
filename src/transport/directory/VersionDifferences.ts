/**
 * Differences from versions that this daemon has had, for daemons that still have one of them. A change of one route takes a
 * few hundred bytes instead of the whole text.
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { computeHash, computeTextDifference } from "../../state/versions/index.js";

/** Version as a difference from another one. */
export interface ConfigurationDifference {
    readonly version: number;
    readonly revision: number;
    /** Checksum of the text from which the difference starts. */
    readonly baseChecksum: string;
    /** Checksum of the text to which it leads. */
    readonly checksum: string;
    /** Parts of the text as JSON, compressed. */
    readonly compressedParts: Uint8Array;
}

/** Earlier versions that are kept; a daemon that is further behind gets a whole copy. */
const MAXIMUM_BASES = 3;

export class VersionDifferences {
    /** Compressed texts of earlier versions by their checksums, the newest last. */
    readonly #bases = new Map<string, Uint8Array>();
    /** Differences to the present version by the checksums of their bases; undefined where a copy is smaller. */
    readonly #differences = new Map<string, Uint8Array | undefined>();
    #text: string | undefined;
    #checksum: string | undefined;

    /** Checksum of the present text; undefined without one. */
    get checksum(): string | undefined {
        if (this.#checksum === undefined && this.#text !== undefined) {
            this.#checksum = computeHash(this.#text);
        }
        return this.#checksum;
    }

    /** Keeps the present text as a base and puts another one in its place. */
    setText(text: string): void {
        const { checksum } = this;
        if (checksum !== undefined && this.#text !== undefined) {
            this.#bases.set(checksum, deflateRawSync(this.#text));
            const [oldest] = this.#bases.keys();
            if (this.#bases.size > MAXIMUM_BASES && oldest !== undefined) {
                this.#bases.delete(oldest);
            }
        }
        this.#differences.clear();
        this.#text = text;
        this.#checksum = undefined;
    }

    /** Compressed parts that lead from a base to the present text; undefined unless they are smaller than a copy. */
    findParts(baseChecksum: string, copyBytes: number): Uint8Array | undefined {
        if (!this.#differences.has(baseChecksum)) {
            this.#differences.set(baseChecksum, this.#computeParts(baseChecksum, copyBytes));
        }
        return this.#differences.get(baseChecksum);
    }

    #computeParts(baseChecksum: string, copyBytes: number): Uint8Array | undefined {
        const base = this.#bases.get(baseChecksum);
        if (base === undefined || this.#text === undefined) {
            return undefined;
        }
        const parts = computeTextDifference(inflateRawSync(base).toString("utf8"), this.#text);
        const compressed = deflateRawSync(JSON.stringify(parts));
        return compressed.length < copyBytes ? compressed : undefined;
    }
}
