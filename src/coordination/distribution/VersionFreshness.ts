/**
 * Tells when a version was last known to be the newest one in the store, whichever daemon has asked. Daemons pass this
 * moment on instead of whether a watch works, since a version is late for any reason that silences the watches. All ages
 * by which versions decide come from here; none may be younger than it is.
 */
import type { StorePosition } from "../../state/store/index.js";

/** Statement that a daemon's version in force was the newest one in the store. */
export interface Confirmation {
    /** Position of the store at that moment; a watch from there tells all later versions. */
    readonly position: StorePosition;
    /** Whole milliseconds since that moment, or more. */
    readonly ageMs: number;
}

/** A version that was the newest one in the store at a time. */
export interface ConfirmedVersion {
    /** -Infinity while the store had none. */
    readonly version: number;
    readonly at: number;
}

interface PositionedVersion extends ConfirmedVersion {
    /** Undefined once the store no longer knows it. */
    readonly position: StorePosition | undefined;
}

/** Confirmed versions newer than the own one that are kept. */
const MAXIMUM_NEWER_VERSIONS = 8;

export class VersionFreshness {
    /** Ascending by version and by time: an older version that was confirmed later makes a newer one needless. */
    #confirmed: readonly PositionedVersion[] = [];
    #own: number | undefined;
    #startedAt: number;

    /** Counts from the start while nothing is confirmed. */
    constructor(startedAt: number) {
        this.#startedAt = startedAt;
    }

    /** Position of the last confirmation of the own version; undefined before it, and if the store no longer knows it. */
    get position(): StorePosition | undefined {
        return this.#findConfirmed(this.#own)?.position;
    }

    /** Newest version of the last confirmation; undefined before the first one. */
    get newest(): ConfirmedVersion | undefined {
        return this.#confirmed.at(-1);
    }

    /** Records the own version in force, which may have been confirmed by another daemon before. */
    recordOwn(version: number): void {
        this.#own = version;
        this.#removeNeedless();
    }

    /** Counts from a later time, as long as nothing is confirmed. */
    startAt(now: number): void {
        if (this.position === undefined) {
            this.#startedAt = Math.max(this.#startedAt, now);
        }
    }

    /** Time since the own version was known to be the newest, or since the start. */
    readAgeMs(now: number): number {
        return now - this.#readConfirmedAt();
    }

    /** Time since no version newer than `version` was known to be in the store; Infinity while that isn't known. */
    readVersionAgeMs(version: number, now: number): number {
        return now - (this.#findConfirmed(version)?.at ?? -Infinity);
    }

    /** Confirmation of the own version to pass on; undefined while there is none. */
    readConfirmation(now: number): Confirmation | undefined {
        const confirmed = this.#findConfirmed(this.#own);
        return confirmed?.position === undefined
            ? undefined
            : { ageMs: Math.ceil(now - confirmed.at), position: confirmed.position };
    }

    /** Records that a version was the newest one at a time; returns whether that is news about the own version. */
    recordConfirmation(version: number, position: StorePosition, at: number): boolean {
        if (this.#confirmed.some(known => known.version <= version && known.at >= at)) {
            return false;
        }
        const before = this.#readConfirmedAt();
        this.#confirmed = [
            ...this.#confirmed.filter(known => known.version < version),
            { at, position, version },
            ...this.#confirmed.filter(known => known.version >= version && known.at > at),
        ];
        this.#removeNeedless();
        return this.#readConfirmedAt() > before;
    }

    /** Forgets the position of the own version, from which the store can't be watched any more. */
    removePosition(): void {
        const own = this.#findConfirmed(this.#own);
        this.#confirmed = this.#confirmed.map(known => known === own ? { ...known, position: undefined } : known);
    }

    #readConfirmedAt(): number {
        return Math.max(this.#startedAt, this.#findConfirmed(this.#own)?.at ?? -Infinity);
    }

    /** Last confirmation of a version or of an older one, after which no newer one can have been in the store before. */
    #findConfirmed(version = -Infinity): PositionedVersion | undefined {
        return this.#confirmed.findLast(known => known.version <= version);
    }

    #removeNeedless(): void {
        const own = this.#findConfirmed(this.#own);
        const newer = this.#confirmed.filter(({ version }) => version > (this.#own ?? -Infinity));
        this.#confirmed = [...own === undefined ? [] : [own], ...newer.slice(-MAXIMUM_NEWER_VERSIONS)];
    }
}
