/** Sends the version in force to daemons that ask for it, as a difference where possible, for at most a share of the own link. */
import { deflateRawSync } from "node:zlib";
import type { ConfigurationText } from "../../state/store/index.js";
import type { PartLogger } from "../logging/index.js";
import { COPY_BURST_MS, COPY_LINK_SHARE } from "./DirectoryConstants.js";
import { VersionDifferences } from "./VersionDifferences.js";
import type { ConfigurationDifference } from "./VersionDifferences.js";

/** A version as it is sent to another daemon. */
export interface CompressedConfiguration {
    readonly version: number;
    readonly revision: number;
    readonly compressedText: Uint8Array;
}

export interface CopySenderOptions {
    readonly log: PartLogger;
    /** Rate of the VM's link. */
    readonly linkBytesPerMs: number;
    sendConfiguration(id: string, configuration: CompressedConfiguration): void;
    sendDifference(id: string, difference: ConfigurationDifference): void;
}

export class CopySender {
    readonly #options: CopySenderOptions;
    #text: ConfigurationText | undefined;
    #version: number | undefined;
    #compressed: CompressedConfiguration | undefined;
    readonly #differences = new VersionDifferences();
    #sentCopies = 0;
    #sentDifferences = 0;
    #sentBytes = 0;
    #ignoredRequests = 0;
    readonly #bytesPerMs: number;
    /** Negative while a copy has used more than its share. */
    #allowance: number;
    #allowanceAt = 0;

    constructor(options: CopySenderOptions) {
        this.#options = options;
        this.#bytesPerMs = options.linkBytesPerMs * COPY_LINK_SHARE;
        this.#allowance = this.#bytesPerMs * COPY_BURST_MS;
    }

    /** Copies sent since the start, and their compressed size. */
    get sentCopies(): { readonly count: number; readonly bytes: number; } {
        return { bytes: this.#sentBytes, count: this.#sentCopies };
    }

    /** Differences sent since the start; their bytes are among those of the copies. */
    get sentDifferences(): number {
        return this.#sentDifferences;
    }

    /** Checksum of the version that is sent; undefined without one. */
    get checksum(): string | undefined {
        return this.#differences.checksum;
    }

    /** Requests that were ignored since the start, because copies had used up their share of the link. */
    get ignoredRequests(): number {
        return this.#ignoredRequests;
    }

    /** Sets the version that is sent from now on. */
    setVersion(version: number, text: ConfigurationText): void {
        this.#version = version;
        this.#text = text;
        this.#differences.setText(text.text);
    }

    /** Version to be sent, compressed; undefined while there is none. */
    readCompressed(): CompressedConfiguration | undefined {
        if (this.#text !== undefined && this.#version !== undefined && this.#compressed?.version !== this.#version) {
            this.#compressed = {
                compressedText: deflateRawSync(this.#text.text),
                revision: this.#text.revision,
                version: this.#version,
            };
        }
        return this.#compressed;
    }

    /**
     * Sends the version to a daemon that has asked for it, as a difference from its own one if that is known here. After many copies at once the request is ignored, so that the
     * copies don't occupy this daemon's link; the other daemon asks another one that has the version by then.
     */
    answerRequest(id: string, baseChecksum: string | undefined, now: number): void {
        const configuration = this.readCompressed();
        if (configuration === undefined) {
            return;
        }
        const { compressedText: { length: copyBytes }, revision, version } = configuration;
        const compressedParts = baseChecksum === undefined
            ? undefined
            : this.#differences.findParts(baseChecksum, copyBytes);
        const bytes = compressedParts?.length ?? copyBytes;
        if (!this.#takeBytes(bytes, now)) {
            this.#ignoredRequests++;
            this.#options.log.info(`ignored a request of ${id}: copies have used up their share of the link.`, {
                peer: id,
                version,
            });
            return;
        }
        this.#sentBytes += bytes;
        this.#options.log.info(`sent version ${version} to ${id}.`, {
            bytes,
            isDifference: compressedParts !== undefined,
            peer: id,
            revision,
            version,
        });
        const { checksum } = this;
        if (compressedParts === undefined || baseChecksum === undefined || checksum === undefined) {
            this.#sentCopies++;
            this.#options.sendConfiguration(id, configuration);
        }
        else {
            this.#sentDifferences++;
            this.#options.sendDifference(id, { baseChecksum, checksum, compressedParts, revision, version });
        }
    }

    /** Takes the bytes of a copy from the allowance; false while earlier copies have used it up. */
    #takeBytes(bytes: number, now: number): boolean {
        const refilled = this.#allowance + (now - this.#allowanceAt) * this.#bytesPerMs;
        this.#allowance = Math.min(this.#bytesPerMs * COPY_BURST_MS, refilled);
        this.#allowanceAt = now;
        if (this.#allowance <= 0) {
            return false;
        }
        this.#allowance -= bytes;
        return true;
    }
}
