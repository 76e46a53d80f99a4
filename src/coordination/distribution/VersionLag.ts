/**
 * Tells how far a daemon's version of the configuration is behind those of other daemons, and whether its own version may
 * still decide. A version that is only a little behind decides on, since its copy is usually on the way.
 */

/** Time after which a daemon that knows of a newer version no longer decides by its own one. */
export const OWN_DECISION_LIMIT_MS = 500;
/** Unanswered queries after which a daemon's word that it has a newer version is no longer taken. */
const MAXIMUM_UNANSWERED_QUERIES = 3;
/** Time after which the word of such a daemon is taken again, doubled by each further unanswered query. */
const DISTRUST_BASE_MS = 2_000;
const DISTRUST_MAXIMUM_MS = 120_000;
/** Versions of another daemon that are kept while the own one is older than all of them. */
const MAXIMUM_NEWER_VERSIONS = 16;

interface KnownVersion {
    readonly version: number;
    readonly knownAt: number;
}

interface PeerVersion extends KnownVersion {
    /** Versions newer than the own one since they were first known, in ascending order. */
    readonly newer: readonly KnownVersion[];
    /** Queries since the last answer. */
    unanswered: number;
    lastUnansweredAt: number;
}

export class VersionLag {
    /** Versions in force at other daemons by their ids. */
    readonly #peers = new Map<string, PeerVersion>();
    #own: number | undefined;
    #behindSince: number | undefined;
    /** Lowest version that may decide, since a request was decided by it or refused by it. */
    #required = -Infinity;
    #requiredAt = 0;

    get own(): number | undefined {
        return this.#own;
    }

    /** Newest version that is known to be in force anywhere; undefined while none is known. */
    get newestKnown(): number | undefined {
        const versions = [...this.#peers.values()].map(({ version }) => version);
        const newest = Math.max(this.#own ?? -Infinity, this.#required, ...versions);
        return newest === -Infinity ? undefined : newest;
    }

    get isBehind(): boolean {
        return this.#behindSince !== undefined;
    }

    isNewer(version: number): boolean {
        return this.#own === undefined || version > this.#own;
    }

    /** Records the own version in force. */
    recordOwn(version: number): void {
        this.#own = version;
        this.#updateBehindSince();
    }

    /** Records the version in force at another daemon; returns whether it is newer than the own one. */
    recordPeer(id: string, version: number, now: number): boolean {
        const before = this.#peers.get(id);
        if (before?.version !== version) {
            this.#peers.set(id, {
                knownAt: now,
                lastUnansweredAt: -Infinity,
                newer: this.#addNewer(before?.newer ?? [], { knownAt: now, version }),
                unanswered: 0,
                version,
            });
            this.#updateBehindSince();
        }
        return this.isNewer(version);
    }

    removePeer(id: string): void {
        if (this.#peers.delete(id)) {
            this.#updateBehindSince();
        }
    }

    /** Records that a request was decided by a version, so that no older one decides from now on. */
    requireVersion(version: number, now: number): void {
        if (version > this.#required) {
            this.#required = version;
            this.#requiredAt = now;
            this.#updateBehindSince();
        }
    }

    recordAnswer(id: string): void {
        const peer = this.#peers.get(id);
        if (peer !== undefined) {
            peer.unanswered = 0;
        }
    }

    recordUnanswered(id: string, now: number): void {
        const peer = this.#peers.get(id);
        if (peer !== undefined) {
            peer.unanswered++;
            peer.lastUnansweredAt = now;
        }
    }

    /** Time since another daemon was known to have a newer version; undefined while the own one is the newest known. */
    readBehindMs(now: number): number | undefined {
        return this.#behindSince === undefined ? undefined : now - this.#behindSince;
    }

    /** Whether a daemon has a newer version than the own one, whatever became of queries to it. */
    hasNewer(id: string): boolean {
        const version = this.#peers.get(id)?.version;
        return version !== undefined && this.isNewer(version);
    }

    /** Whether the own version is older than one that has decided already. */
    get isSuperseded(): boolean {
        return (this.#own ?? -Infinity) < this.#required;
    }

    /** Lowest version that may decide: the own one, or a newer one that has decided already. */
    get lowestDeciding(): number {
        return Math.max(this.#required, this.#own ?? -Infinity);
    }

    /** Lowest version of another daemon that may decide in place of the own one. */
    get lowestSource(): number {
        return Math.max(this.#required, (this.#own ?? -Infinity) + 1);
    }

    /** Newest version that has decided or is in force, here or at a daemon that answers queries; -Infinity for none. */
    readNewestBelieved(now: number): number {
        const versions = [...this.#peers.values()].filter(peer => isBelieved(peer, now)).map(({ version }) => version);
        return Math.max(this.#own ?? -Infinity, this.#required, ...versions);
    }

    /**
     * Lists the daemons whose versions may decide in place of the own one: none that is older than one that became known
     * some time ago. Newer ones are not waited for: few daemons have them, and all late ones would ask these few.
     */
    listSources<T extends { readonly id: string; }>(
        reachable: readonly T[],
        now: number,
        lowest = this.lowestSource,
    ): readonly T[] {
        const candidates = reachable.flatMap(source => {
            const peer = this.#peers.get(source.id);
            return peer !== undefined && peer.version >= lowest && isBelieved(peer, now) ? [{ peer, source }] : [];
        });
        const expected = Math.max(
            lowest,
            ...candidates.filter(({ peer }) => now - peer.knownAt > OWN_DECISION_LIMIT_MS).map(({ peer }) =>
                peer.version
            ),
        );
        return candidates.filter(({ peer }) => peer.version >= expected).map(({ source }) => source);
    }

    /** Whether the own version may decide, if the daemons whose versions could decide instead are `sources`. */
    mayDecide(sources: readonly unknown[], now: number): boolean {
        if (this.isSuperseded) {
            return false;
        }
        const behindMs = this.readBehindMs(now);
        return behindMs === undefined || behindMs <= OWN_DECISION_LIMIT_MS || sources.length === 0;
    }

    getPeerVersion(id: string): number | undefined {
        return this.#peers.get(id)?.version;
    }

    /**
     * Adds a version to those of another daemon. They stay when it names an older one again: a message can be late, and a
     * version that was in force anywhere doesn't end. Beyond the limit the oldest and the newest ones are kept.
     */
    #addNewer(versions: readonly KnownVersion[], added: KnownVersion): readonly KnownVersion[] {
        const newer = versions.filter(({ version }) => this.isNewer(version));
        if (!this.isNewer(added.version) || added.version <= (newer.at(-1)?.version ?? -Infinity)) {
            return newer;
        }
        return [...newer.slice(0, MAXIMUM_NEWER_VERSIONS - 1), added];
    }

    #updateBehindSince(): void {
        const times = [...this.#peers.values()].flatMap(({ newer }) =>
            newer.find(({ version }) => this.isNewer(version))?.knownAt ?? []
        );
        if (this.isSuperseded) {
            times.push(this.#requiredAt);
        }
        this.#behindSince = times.length === 0 ? undefined : Math.min(...times);
    }
}

/** Whether a daemon's word that it has a version is taken. */
function isBelieved({ lastUnansweredAt, unanswered }: PeerVersion, now: number): boolean {
    const further = unanswered - MAXIMUM_UNANSWERED_QUERIES;
    return further < 0 || now - lastUnansweredAt > Math.min(DISTRUST_BASE_MS * 2 ** further, DISTRUST_MAXIMUM_MS);
}
