import type { Member } from "./Member.js";
import { compareRecords, isPresent } from "./MemberMerge.js";
import type { DigestWords } from "./RecordHash.js";
import { formatRecordKey, hashText, toDigest, toggleText } from "./RecordHash.js";

/** Buckets of a failure domain's digest: about 22 records each at the target of 1,400 members. */
export const DIGEST_BUCKETS = 64;

/** Digest of one failure domain's records. */
export interface DomainDigest {
    readonly domain: string;
    readonly hash: number;
}

interface Domain {
    readonly name: string;
    readonly region: string;
    readonly whole: DigestWords;
    readonly buckets: readonly DigestWords[];
    readonly ids: Set<string>;
    /** Ids in rank order; undefined after a change of the present members. */
    ranked: readonly string[] | undefined;
}

/**
 * Records of all members by daemon id, with incremental digests for each failure domain, and the
 * services that ever had an announced backend server. Owned by one daemon and changed only by it.
 */
export class MemberTable {
    private readonly records = new Map<string, Member>();
    private readonly domains = new Map<string, Domain>();
    private readonly services = new Set<string>();
    private readonly serviceDigest: DigestWords = { high: 0, low: 0 };
    /** Rises whenever the ranks of some failure domain may have changed; for caches. */
    generation = 0;

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
            this.toggle(held);
        }
        if (held !== undefined && held.failureDomain !== member.failureDomain) {
            this.detach(held);
        }
        this.records.set(member.id, member);
        this.toggle(member);
        const domain = this.ensureDomain(member);
        if (held === undefined || isPresent(held) !== isPresent(member) || !domain.ids.has(member.id)) {
            domain.ids.add(member.id);
            this.forgetRanks(domain);
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
            this.toggle(held);
            this.detach(held);
            this.records.delete(id);
        }
    }

    addService(service: string): boolean {
        if (this.services.has(service)) {
            return false;
        }
        this.services.add(service);
        toggleText(this.serviceDigest, service);
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
        return [...this.domains.values()].map(domain => ({ domain: domain.name, hash: toDigest(domain.whole) }));
    }

    listBuckets(domain: string): readonly number[] {
        const held = this.domains.get(domain);
        return held === undefined ? new Array<number>(DIGEST_BUCKETS).fill(0) : held.buckets.map(toDigest);
    }

    listBucketRecords(domain: string, buckets: ReadonlySet<number>): readonly Member[] {
        const ids = this.domains.get(domain)?.ids ?? [];
        return [...ids].filter(id => buckets.has(chooseBucket(id))).map(id => this.records.get(id) as Member);
    }

    listDomains(): readonly string[] {
        return [...this.domains.values()].filter(domain => domain.ids.size > 0).map(domain => domain.name);
    }

    getRegion(domain: string): string | undefined {
        return this.domains.get(domain)?.region;
    }

    /** Ids of the present members of a failure domain, by rendezvous hash of (domain, id). */
    listRanked(domain: string): readonly string[] {
        const held = this.domains.get(domain);
        if (held === undefined) {
            return [];
        }
        held.ranked ??= rankIds(domain, [...held.ids].filter(id => isPresent(this.records.get(id) as Member)));
        return held.ranked;
    }

    private ensureDomain(member: Member): Domain {
        const held = this.domains.get(member.failureDomain);
        if (held !== undefined) {
            return held;
        }
        const created: Domain = {
            buckets: Array.from({ length: DIGEST_BUCKETS }, () => ({ high: 0, low: 0 })),
            ids: new Set(),
            name: member.failureDomain,
            ranked: undefined,
            region: member.region,
            whole: { high: 0, low: 0 },
        };
        this.domains.set(member.failureDomain, created);
        return created;
    }

    private toggle(member: Member): void {
        const domain = this.ensureDomain(member);
        const key = formatRecordKey(member);
        toggleText(domain.whole, key);
        toggleText(domain.buckets[chooseBucket(member.id)] as DigestWords, key);
    }

    private forgetRanks(domain: Domain): void {
        domain.ranked = undefined;
        this.generation++;
    }

    private detach(member: Member): void {
        const domain = this.ensureDomain(member);
        domain.ids.delete(member.id);
        this.forgetRanks(domain);
    }
}

function chooseBucket(id: string): number {
    return hashText(id, 0) % DIGEST_BUCKETS;
}

/** Rendezvous score of a daemon in its failure domain; the lowest ranks first. */
export function computeScore(domain: string, id: string): number {
    return hashText(`${domain}/${id}`, 0);
}

function rankIds(domain: string, ids: readonly string[]): readonly string[] {
    return ids
        .map(id => ({ id, score: computeScore(domain, id) }))
        .sort((a, b) => a.score - b.score || (a.id < b.id ? -1 : 1))
        .map(entry => entry.id);
}
