/**
 * Spreads member records among the daemons. A record that is new is passed on to the neighbours at once. What that
 * misses is repaired by digests: of all records with each ping, then of a failure domain, then of a bucket of ids.
 */
import type { GossipMessage, SessionMessageOf } from "../../protocol/session/index.js";
import type { Member, MemberTable } from "../../state/members/index.js";
import type { PartLogger } from "../logging/index.js";
import type { Timers } from "../timers/index.js";
import {
    DIGEST_EXCHANGE_INTERVAL_MS,
    MAXIMUM_DOMAINS_PER_EXCHANGE,
    RECORD_BATCH_DELAY_MS,
} from "./DirectoryConstants.js";

export type MemberMessage =
    | SessionMessageOf<"members">
    | SessionMessageOf<"memberDigests">
    | SessionMessageOf<"memberBuckets">;

export interface MemberGossipOptions {
    readonly table: MemberTable;
    readonly log: PartLogger;
    readonly now: () => number;
    readonly timers: Timers;
    send(id: string, message: GossipMessage): void;
    /** Lists the daemons to which new records are passed on. */
    listReceivers(): Iterable<string>;
    /** Merges records and returns those that were new. */
    merge(members: readonly Member[]): readonly Member[];
}

interface PendingRecord {
    readonly record: Member;
    /** Daemon from which the record came; it is not sent back there. */
    readonly source: string | undefined;
}

export class MemberGossip {
    readonly #options: MemberGossipOptions;
    #pending: PendingRecord[] = [];
    #cancelBatch: (() => void) | undefined;
    #lastExchangeAt = -Infinity;

    constructor(options: MemberGossipOptions) {
        this.#options = options;
    }

    /** Passes records on to the neighbours, after a short time in which others may join them. */
    announce(records: readonly Member[], source?: string): void {
        this.#pending.push(...records.map(record => ({ record, source })));
        if (this.#pending.length > 0) {
            this.#cancelBatch ??= this.#options.timers.after(RECORD_BATCH_DELAY_MS, () => this.flush());
        }
    }

    /** Sends the records that are waiting. */
    flush(): void {
        this.#cancelBatch?.();
        this.#cancelBatch = undefined;
        const pending = this.#pending;
        this.#pending = [];
        for (const id of this.#options.listReceivers()) {
            const records = pending.filter(({ source }) => source !== id).map(({ record }) => record);
            if (records.length > 0) {
                this.#options.send(id, { domain: "", kind: "members", records, wantedBuckets: [] });
            }
        }
    }

    /** Compares the digest of another daemon, and exchanges records when it differs from the own one. */
    compareDigest(id: string, membersDigest: number): void {
        const now = this.#options.now();
        const { table } = this.#options;
        if (membersDigest === table.getDigest() || now - this.#lastExchangeAt < DIGEST_EXCHANGE_INTERVAL_MS) {
            return;
        }
        this.#lastExchangeAt = now;
        this.#options.send(id, { domains: table.listDigests(), kind: "memberDigests" });
    }

    handle(id: string, message: MemberMessage): void {
        switch (message.kind) {
            case "members":
                this.#handleMembers(id, message);
                return;
            case "memberDigests":
                this.#handleDigests(id, message);
                return;
            case "memberBuckets":
                this.#handleBuckets(id, message);
        }
    }

    stop(): void {
        this.#cancelBatch?.();
    }

    #handleMembers(id: string, { domain, records, wantedBuckets }: SessionMessageOf<"members">): void {
        this.announce(this.#options.merge(records), id);
        if (wantedBuckets.length > 0) {
            this.#sendBuckets(id, domain, wantedBuckets, []);
        }
    }

    #handleDigests(id: string, { domains }: SessionMessageOf<"memberDigests">): void {
        const { table } = this.#options;
        const others = new Map(domains.map(({ domain, hash }) => [domain, hash]));
        const own = new Map(table.listDigests().map(({ domain, hash }) => [domain, hash]));
        [...new Set([...others.keys(), ...own.keys()])]
            .filter(domain => others.get(domain) !== own.get(domain))
            .slice(0, MAXIMUM_DOMAINS_PER_EXCHANGE)
            .forEach(domain =>
                this.#options.send(id, { domain, hashes: table.listBuckets(domain), kind: "memberBuckets" })
            );
    }

    #handleBuckets(id: string, { domain, hashes }: SessionMessageOf<"memberBuckets">): void {
        const differing = this.#options.table.listBuckets(domain)
            .flatMap((hash, bucket) => hash === hashes[bucket] ? [] : [bucket]);
        if (differing.length > 0) {
            this.#options.log.info(`records of ${domain} are compared with those of ${id}.`, {
                buckets: differing.length,
                domain,
                peer: id,
            });
            this.#sendBuckets(id, domain, differing, differing);
        }
    }

    #sendBuckets(id: string, domain: string, buckets: readonly number[], wantedBuckets: readonly number[]): void {
        const records = this.#options.table.listBucketRecords(domain, new Set(buckets));
        this.#options.send(id, { domain, kind: "members", records, wantedBuckets });
    }
}
