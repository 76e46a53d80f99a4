import type { Member } from "./Member.js";
import { compareRecords, isPresent } from "./MemberMerge.js";
import type { DigestWords } from "./RecordHash.js";
import { formatRecordKey, hashText, toDigest, toggleHash } from "./RecordHash.js";

/** Buckets of a failure domain's digest: about 22 records each at the target of 1,400 members. */
export const DIGEST_BUCKETS = 64;

/** Digest of one failure domain's records. */
export interface DomainDigest {
    readonly domain: string;
    readonly hash: number;
}

interface DomainIndex {
    readonly name: string;
    readonly region: string;
    readonly digest: DigestWords;
    readonly bucketDigests: readonly DigestWords[];
    readonly ids: Set<string>;
    /** Ids in rank order; undefined after a change of the present members. */
    rankedIds: readonly string[] | undefined;
}

/**
 * Records of all members by daemon id, with incremental digests for each failure domain, and the
 * services that ever had an announced backend server. Owned by one daemon and changed only by it.
 */
export class MemberTable {
    private readonly records = new Map<string, Member>();
    private readonly domains = new Map<string, DomainIndex>();
    private readonly services = new Set<string>();
    private readonly serviceDigest: DigestWords = { high: 0, low: 0 };
    /** Rises whenever the ranks of some failure domain may have changed; for caches. */
    rankingGeneration = 0;

    get(id: string): Member | undefined {
        return this.records.get(id);
    }

    get size(): number {
        return this.records.size;
    }

    listAll(): IterableIterator<Member> {
        return this.records.values();
    }

    copyRecords(): ReadonlyMap<string, Member> {
        return new Map(this.records);
    }

    /** Takes in a record; returns whether it replaced what was held. */
    merge(member: Member): boolean {
        const held = this.records.get(member.id);
        if (held !== undefined && compareRecords(member, held) <= 0) {
            return false;
        }
        if (held !== undefined) {
            this.toggleInDigests(held);
        }
        if (held !== undefined && held.failureDomain !== member.failureDomain) {
            this.removeFromDomain(held);
        }
        this.records.set(member.id, member);
        this.toggleInDigests(member);
        const domain = this.ensureDomain(member);
        if (held === undefined || isPresent(held) !== isPresent(member) || !domain.ids.has(member.id)) {
            domain.ids.add(member.id);
            this.resetRanking(domain);
        }
        if (member.server !== undefined) {
            this.addService(member.server.service);
        }
        return true;
    }

    /** Forgets a record, for example a tombstone past its retention. */
    remove(id: string): void {
        const held = this.records.get(id);
        if (held !== undefined) {
            this.toggleInDigests(held);
            this.removeFromDomain(held);
            this.records.delete(id);
        }
    }

    addService(service: string): boolean {
        if (this.services.has(service)) {
            return false;
        }
        this.services.add(service);
        toggleHash(this.serviceDigest, service);
        return true;
    }

    /** Whether a backend server of the service was ever announced. */
    hasService(service: string): boolean {
        return this.services.has(service);
    }

    listServices(): readonly string[] {
        return [...this.services];
    }

    getServiceDigest(): number {
        return toDigest(this.serviceDigest);
    }

    listDigests(): readonly DomainDigest[] {
        return [...this.domains.values()].map(domain => ({ domain: domain.name, hash: toDigest(domain.digest) }));
    }

    listBuckets(domain: string): readonly number[] {
        const held = this.domains.get(domain);
        return held === undefined ? new Array<number>(DIGEST_BUCKETS).fill(0) : held.bucketDigests.map(toDigest);
    }

    listBucketRecords(domain: string, buckets: ReadonlySet<number>): readonly Member[] {
        const ids = this.domains.get(domain)?.ids ?? [];
        return [...ids].filter(id => buckets.has(computeBucket(id))).map(id => this.records.get(id) as Member);
    }

    listDomains(): readonly string[] {
        return [...this.domains.values()].filter(domain => domain.ids.size > 0).map(domain => domain.name);
    }

    getRegion(domain: string): string | undefined {
        return this.domains.get(domain)?.region;
    }

    /** Ids of the present members of a failure domain, by rendezvous hash of (domain, id). */
    listRankedIds(domain: string): readonly string[] {
        const held = this.domains.get(domain);
        if (held === undefined) {
            return [];
        }
        held.rankedIds ??= rankIds(domain, [...held.ids].filter(id => isPresent(this.records.get(id) as Member)));
        return held.rankedIds;
    }

    private ensureDomain(member: Member): DomainIndex {
        const held = this.domains.get(member.failureDomain);
        if (held !== undefined) {
            return held;
        }
        const created: DomainIndex = {
            bucketDigests: Array.from({ length: DIGEST_BUCKETS }, () => ({ high: 0, low: 0 })),
            ids: new Set(),
            name: member.failureDomain,
            rankedIds: undefined,
            region: member.region,
            digest: { high: 0, low: 0 },
        };
        this.domains.set(member.failureDomain, created);
        return created;
    }

    private toggleInDigests(member: Member): void {
        const domain = this.ensureDomain(member);
        const key = formatRecordKey(member);
        toggleHash(domain.digest, key);
        toggleHash(domain.bucketDigests[computeBucket(member.id)] as DigestWords, key);
    }

    private resetRanking(domain: DomainIndex): void {
        domain.rankedIds = undefined;
        this.rankingGeneration++;
    }

    private removeFromDomain(member: Member): void {
        const domain = this.ensureDomain(member);
        domain.ids.delete(member.id);
        this.resetRanking(domain);
    }
}

function computeBucket(id: string): number {
    return hashText(id, 0) % DIGEST_BUCKETS;
}

/** Rendezvous score of a daemon in its failure domain; the lowest ranks first. */
export function computeRendezvousScore(domain: string, id: string): number {
    return hashText(`${domain}/${id}`, 0);
}

function rankIds(domain: string, ids: readonly string[]): readonly string[] {
    return ids
        .map(id => ({ id, score: computeRendezvousScore(domain, id) }))
        .sort((a, b) => a.score - b.score || (a.id < b.id ? -1 : 1))
        .map(entry => entry.id);
}
