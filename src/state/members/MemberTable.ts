import { hashText } from "../shared/index.js";
import type { Member } from "./Member.js";
import { compareRecords, isPresent } from "./MemberMerge.js";
import type { DigestWords } from "./RecordHash.js";
import { formatRecordKey, toDigest, toggleHash } from "./RecordHash.js";

/** Number of digest buckets of a failure domain: about 22 records each at the target of 1,400 members. */
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
    /** Ids of the present members in rank order; undefined until recomputed after a change. */
    rankedIds: readonly string[] | undefined;
}

/**
 * Records of all members by daemon id with incremental digests for each failure domain, and the
 * services of which a backend server was ever announced. Each daemon keeps its own table.
 */
export class MemberTable {
    private readonly records = new Map<string, Member>();
    private readonly domains = new Map<string, DomainIndex>();
    private readonly services = new Set<string>();
    private readonly digest: DigestWords = { high: 0, low: 0 };
    private readonly serviceDigest: DigestWords = { high: 0, low: 0 };
    /** Incremented whenever the ranking of a failure domain or the service of a member has changed; invalidates caches. */
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

    /** Merges a record; returns whether it was new or superseded the existing one. */
    merge(member: Member): boolean {
        const existing = this.records.get(member.id);
        if (existing !== undefined && compareRecords(member, existing) <= 0) {
            return false;
        }
        if (existing !== undefined) {
            this.toggleInDigests(existing);
        }
        if (existing !== undefined && existing.failureDomain !== member.failureDomain) {
            this.removeFromDomain(existing);
        }
        this.records.set(member.id, member);
        this.toggleInDigests(member);
        const domain = this.ensureDomain(member);
        const isSelectedDifferently = existing === undefined || isPresent(existing) !== isPresent(member)
            || existing.server?.service !== member.server?.service;
        if (isSelectedDifferently || !domain.ids.has(member.id)) {
            domain.ids.add(member.id);
            this.resetRanking(domain);
        }
        if (member.server !== undefined) {
            this.addService(member.server.service);
        }
        return true;
    }

    /** Removes a record, for example a tombstone past its retention. */
    remove(id: string): void {
        const existing = this.records.get(id);
        if (existing !== undefined) {
            this.toggleInDigests(existing);
            this.removeFromDomain(existing);
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

    /** Digest of all records. */
    getDigest(): number {
        return toDigest(this.digest);
    }

    listDigests(): readonly DomainDigest[] {
        return [...this.domains.values()].map(domain => ({ domain: domain.name, hash: toDigest(domain.digest) }));
    }

    listBuckets(domain: string): readonly number[] {
        const index = this.domains.get(domain);
        return index === undefined ? new Array<number>(DIGEST_BUCKETS).fill(0) : index.bucketDigests.map(toDigest);
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

    /** Lists the ids of a failure domain's present members, ordered by the rendezvous hash of (domain, id). */
    listRankedIds(domain: string): readonly string[] {
        const index = this.domains.get(domain);
        if (index === undefined) {
            return [];
        }
        index.rankedIds ??= rankIds(domain, [...index.ids].filter(id => isPresent(this.records.get(id) as Member)));
        return index.rankedIds;
    }

    private ensureDomain(member: Member): DomainIndex {
        const existing = this.domains.get(member.failureDomain);
        if (existing !== undefined) {
            return existing;
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
        toggleHash(this.digest, key);
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

/** Computes the rendezvous score of a daemon in its failure domain; the lowest score ranks first. */
export function computeRendezvousScore(domain: string, id: string): number {
    return hashText(`${domain}/${id}`, 0);
}

function rankIds(domain: string, ids: readonly string[]): readonly string[] {
    return ids
        .map(id => ({ id, score: computeRendezvousScore(domain, id) }))
        .sort((a, b) => a.score - b.score || (a.id < b.id ? -1 : 1))
        .map(entry => entry.id);
}
