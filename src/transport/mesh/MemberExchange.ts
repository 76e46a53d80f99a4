import { encodeMessage } from "../../protocol/peer/index.js";
import type { MessageOf } from "../../protocol/peer/index.js";
import { compareRecords, DIGEST_BUCKETS, isPresent, MemberState } from "../../state/members/index.js";
import type { Member, ServerRecord } from "../../state/members/index.js";
import type { Link } from "./Link.js";
import type { MeshComponent, MeshContext, MessageHandlers } from "./MeshContext.js";

/** Bounds of the time for which a change is delayed to be sent in a batch. */
const BATCH_MAXIMUM_DELAY_MS = 200;
const BATCH_MINIMUM_DELAY_MS = 20;
const RECORDS_PER_MESSAGE = 1_000;

interface PendingRecord {
    readonly record: Member;
    /** Link over which the record was received; undefined for one that originates here. */
    readonly source: Link | undefined;
}

/** Distributes member records over the tree, and repairs differences by comparing digests. */
export class MemberExchange implements MeshComponent {
    readonly handlers: MessageHandlers = {
        bucketRecords: (message, link) => this.handleBucketRecords(message, link),
        buckets: (message, link) => this.handleBuckets(message, link),
        members: (message, link) => this.handleMembers(message, link),
    };
    private own: Member;
    private readonly pending = new Map<string, PendingRecord>();
    private readonly pendingServices = new Set<string>();
    private cancelFlush: (() => void) | undefined;

    constructor(private readonly context: MeshContext, own: Member, private readonly onChanged: () => void) {
        this.own = own;
        context.table.merge(own);
    }

    getOwnRecord(): Member {
        return this.own;
    }

    /** Changes the own record and distributes it. */
    updateOwnRecord(state: MemberState, server: ServerRecord | undefined): void {
        const { address, failureDomain, id, incarnation, peerPort, region, relayPort, revision } = this.own;
        const daemon = { address, failureDomain, id, incarnation, peerPort, region, relayPort };
        this.replaceOwnRecord({
            ...daemon,
            ...(server === undefined ? {} : { server }),
            revision: revision + 1,
            state,
        });
    }

    /** Raises the own incarnation above the one that other daemons hold. */
    refute(incarnation: number): void {
        const raised = Math.max(incarnation + 1, Math.floor(this.context.options.now()));
        this.replaceOwnRecord({ ...this.own, incarnation: raised, revision: 0 });
    }

    /** Merges a record received from another daemon, or one of a member that this daemon declares dead. */
    mergeRecord(record: Member, source: Link | undefined): void {
        if (record.id === this.own.id) {
            if (compareRecords(record, this.own) > 0) {
                this.refute(record.incarnation);
            }
            return;
        }
        const isNewService = record.server !== undefined && !this.context.table.hasService(record.server.service);
        if (this.context.table.merge(record)) {
            this.enqueueRecord(record, source);
            this.onChanged();
        }
        else if (isNewService) {
            this.onChanged();
        }
    }

    /** Returns the digests of the records that this daemon holds; a peer answers where its own differ. */
    getDigestFields(): Pick<MessageOf<"digest">, "domains" | "services"> {
        return { domains: this.context.table.listDigests(), services: this.context.table.getServiceDigest() };
    }

    /** Answers a digest with the bucket digests of the failure domains that differ. */
    compareDigest(message: MessageOf<"digest">, link: Link): void {
        const { table } = this.context;
        const theirs = new Map(message.domains.map(entry => [entry.domain, entry.hash]));
        const ours = new Map(table.listDigests().map(entry => [entry.domain, entry.hash]));
        for (const domain of new Set([...theirs.keys(), ...ours.keys()])) {
            if ((theirs.get(domain) ?? 0) !== (ours.get(domain) ?? 0)) {
                link.send({ domain, hashes: table.listBuckets(domain), kind: "buckets" });
            }
        }
        if (message.services !== table.getServiceDigest()) {
            link.send({ kind: "members", records: [], services: table.listServices() });
        }
    }

    /** Sends pending changes immediately. */
    flush(): void {
        this.cancelFlush?.();
        this.cancelFlush = undefined;
        const records = [...this.pending.values()];
        const services = [...this.pendingServices];
        this.pending.clear();
        this.pendingServices.clear();
        for (let at = 0; at === 0 || at < records.length; at += RECORDS_PER_MESSAGE) {
            this.sendRecords(records.slice(at, at + RECORDS_PER_MESSAGE), at === 0 ? services : []);
        }
    }

    private replaceOwnRecord(own: Member): void {
        this.own = own;
        this.context.table.merge(own);
        this.enqueueRecord(own, undefined);
        this.onChanged();
    }

    private enqueueRecord(record: Member, source: Link | undefined): void {
        this.pending.set(record.id, { record, source });
        const isUrgent = record.state === MemberState.Leaving || !isPresent(record);
        const batchDelayMs = Math.min(
            Math.max(this.context.getIntervals().batchMs, BATCH_MINIMUM_DELAY_MS),
            BATCH_MAXIMUM_DELAY_MS,
        );
        this.scheduleFlush(isUrgent ? 0 : batchDelayMs);
    }

    private scheduleFlush(delayMs: number): void {
        if (delayMs === 0) {
            this.cancelFlush?.();
            this.cancelFlush = undefined;
        }
        this.cancelFlush ??= this.context.timers.after(delayMs, () => this.flush());
    }

    private sendRecords(pending: readonly PendingRecord[], services: readonly string[]): void {
        const frames = new Map<Link | undefined, Uint8Array>();
        const sources = new Set(pending.map(entry => entry.source));
        for (const link of this.context.links.listTreeLinks()) {
            const key = sources.has(link) ? link : undefined;
            const records = pending.filter(entry => key === undefined || entry.source !== key).map(entry =>
                entry.record
            );
            if (records.length + services.length > 0) {
                const frame = frames.get(key) ?? encodeMessage({ kind: "members", records, services });
                frames.set(key, frame);
                link.sendFrame(frame);
            }
        }
    }

    private handleMembers(message: MessageOf<"members">, link: Link): void {
        for (const service of message.services) {
            if (this.context.table.addService(service)) {
                this.pendingServices.add(service);
                this.scheduleFlush(BATCH_MAXIMUM_DELAY_MS);
                this.onChanged();
            }
        }
        message.records.forEach(record => this.mergeRecord(record, link));
    }

    private handleBuckets(message: MessageOf<"buckets">, link: Link): void {
        const ours = this.context.table.listBuckets(message.domain);
        const differing = ours.flatMap((hash, index) => hash === message.hashes[index] ? [] : [index]);
        if (message.hashes.length === DIGEST_BUCKETS && differing.length > 0) {
            const records = this.context.table.listBucketRecords(message.domain, new Set(differing));
            link.send({
                buckets: differing,
                domain: message.domain,
                kind: "bucketRecords",
                records,
                wantsAnswer: true,
            });
        }
    }

    private handleBucketRecords(message: MessageOf<"bucketRecords">, link: Link): void {
        const received = new Map(message.records.map(record => [record.id, record]));
        message.records.forEach(record => this.mergeRecord(record, link));
        if (!message.wantsAnswer) {
            return;
        }
        const newer = this.context.table
            .listBucketRecords(message.domain, new Set(message.buckets))
            .filter(record => {
                const theirs = received.get(record.id);
                return theirs === undefined || compareRecords(record, theirs) > 0;
            });
        if (newer.length > 0) {
            link.send({ ...message, records: newer, wantsAnswer: false });
        }
    }
}
