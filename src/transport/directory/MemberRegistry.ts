/**
 * Discovers the other daemons: each writes its record to the store once and then reads those of the
 * others, so that of two that start together at least one finds the other and connects to it.
 */
import { isPresent, isSameLocation, MemberState, MemberTable } from "../../state/members/index.js";
import type { Member } from "../../state/members/index.js";
import type { MeshStorePort, StoreError } from "../../state/store/index.js";
import type { PartLogger } from "../logging/index.js";
import { sleepFor } from "../timers/index.js";
import type { Timers } from "../timers/index.js";
import { AnswerTimeout } from "./AnswerTimeout.js";
import { RecordRestorer } from "./RecordRestorer.js";
import { generateStoreDelays } from "./StoreDelays.js";

export interface MemberRegistryOptions {
    readonly self: Member;
    /** Whether the whole mesh starts for the first time, so that the store can't hold a record of this daemon. */
    readonly isFirstStart: boolean;
    /** Wait after the own record is written at the first start, in which the other daemons write theirs. */
    readonly firstListingDelayMs: number;
    readonly store: MeshStorePort;
    readonly log: PartLogger;
    readonly random: () => number;
    readonly timers: Timers;
    /** Called once this daemon is registered and its table has the records of the others. */
    onRegistered(): void;
    /** Called with a daemon that is gone. */
    onMemberRemoved(member: Member): void;
    /** Called with a daemon whose planned stop has begun; it still answers what it has accepted. */
    onMemberLeft(member: Member): void;
    /** Called with each record that is new or replaced an older one, except the own one. */
    onMemberUpdated(member: Member): void;
}

export class MemberRegistry {
    readonly #options: MemberRegistryOptions;
    /** All records, the own one included. */
    readonly table = new MemberTable();
    readonly #idsByAddress = new Map<string, string>();
    #self: Member;
    #isRegistered = false;
    #isStopping = false;
    /** Era of the store in which the records were last read or restored. */
    #era: number | undefined;
    readonly #restorer: RecordRestorer;
    readonly #timeout = new AnswerTimeout();

    constructor(options: MemberRegistryOptions) {
        this.#options = options;
        this.#self = options.self;
        this.#restorer = new RecordRestorer({
            listRegion: () => this.list().filter(({ region }) => region === this.#self.region),
            log: options.log,
            random: options.random,
            store: options.store,
            timers: options.timers,
        });
        this.#addRecord(options.self);
    }

    get self(): Member {
        return this.#self;
    }

    /** Whether the own record is known to be in the store and those of the others were read. */
    get isRegistered(): boolean {
        return this.#isRegistered;
    }

    /** Records of the daemons that have not left, the own one included. */
    list(): readonly Member[] {
        return [...this.table.listAll()].filter(isPresent);
    }

    get(id: string): Member | undefined {
        return this.table.get(id);
    }

    /** Merges records that were read from the store or received from other daemons; returns those that were new. */
    merge(members: readonly Member[]): readonly Member[] {
        return members.flatMap(member => {
            if (member.id === this.#self.id) {
                return this.#refute(member) ? [this.#self] : [];
            }
            return this.#accept(member) ? [member] : [];
        });
    }

    /** Marks the own record as left, so that the other daemons open no sessions to this one; returns the record. */
    leave(): Member {
        this.#self = { ...this.#self, revision: this.#self.revision + 1, state: MemberState.Left };
        this.#addRecord(this.#self);
        return this.#self;
    }

    /** Registers this daemon and reads the records of the others, with retries until both are done. */
    async register(): Promise<void> {
        const { firstListingDelayMs, isFirstStart, log, random, store, timers } = this.#options;
        const delays = generateStoreDelays(() => this.list().length, random);
        let isWritten = false;
        let mayBeStored = !isFirstStart;
        let isStoreUnreachable = false;
        let writtenEra: number | undefined;
        while (!this.#isStopping && !this.#isRegistered) {
            const error = await this.#callStore(() =>
                mayBeStored || isWritten ? this.#readMembers(isWritten) : this.#writeSelf()
            );
            if (error === undefined) {
                if (!isWritten && !mayBeStored) {
                    isWritten = true;
                    writtenEra = store.readEra();
                    await sleepFor(timers, isFirstStart ? firstListingDelayMs : 0);
                }
                mayBeStored = false;
                if (this.#isRegistered && isWritten && this.#era !== writtenEra) {
                    // The store was restored from a copy that may lack the record.
                    this.#isRegistered = false;
                    isWritten = false;
                }
                if (isStoreUnreachable) {
                    isStoreUnreachable = false;
                    log.info("the store answers again.");
                }
                continue;
            }
            if (error.kind === "unknown") {
                this.#timeout.recordMissedAnswer();
            }
            if (!isStoreUnreachable) {
                isStoreUnreachable = true;
                log.warn(`the own record can't be registered: ${error.detail}.`, { error });
            }
            await sleepFor(timers, delays.next().value);
        }
        if (this.#isRegistered) {
            log.info(`is registered and has read ${this.table.size} records.`, { era: this.#era });
            this.#options.onRegistered();
        }
    }

    /**
     * Removes a daemon that has been unreachable for long; its own hello adds it again when it returns.
     * `shouldDelete` removes its record from the store as well.
     */
    async remove(member: Member, shouldDelete: boolean): Promise<void> {
        this.#removeRecord(member);
        this.#options.log.info(`daemon ${member.id} was removed: it has been unreachable for long.`, { member });
        this.#options.onMemberRemoved(member);
        if (shouldDelete) {
            const result = await this.#options.store.deleteMember(member.id);
            result.ifLeft(error => {
                this.#options.log.warn(`the record of ${member.id} can't be removed: ${error.detail}.`, { error });
            });
        }
    }

    stop(): void {
        this.#isStopping = true;
        this.#restorer.stop();
    }

    /** Called by a daemon that watches the store, with the era that it named; restores records in a later one. */
    async recordEra(era: number): Promise<void> {
        if (!this.#isRegistered || this.#restorer.isRestoring || this.#era === undefined || era <= this.#era) {
            return;
        }
        this.#options.log.warn("the store was restored from a copy.", { before: this.#era, era });
        this.#era = era;
        await this.#restorer.restore(era);
    }

    /** Calls the store. An error that its client throws must not end the registration. */
    async #callStore(call: () => Promise<StoreError | undefined>): Promise<StoreError | undefined> {
        try {
            return await call();
        }
        catch (error) {
            this.#options.log.error("the registration failed for an internal error.", { err: error });
            return { detail: (error as Error).message, kind: "unknown" };
        }
    }

    async #readMembers(isWritten: boolean): Promise<StoreError | undefined> {
        const result = await this.#options.store.listMembers(this.#timeout.timeoutMs);
        return result.caseOf<StoreError | undefined>({
            Left: error => error,
            Right: members => {
                const own = members.find(({ id }) => id === this.#self.id);
                this.#era = this.#options.store.readEra();
                this.#isRegistered = isWritten || own !== undefined && isSameLocation(own, this.#self);
                this.merge(members);
                return undefined;
            },
        });
    }

    async #writeSelf(): Promise<StoreError | undefined> {
        const result = await this.#options.store.writeMember(this.#self, this.#timeout.timeoutMs);
        return result.caseOf<StoreError | undefined>({ Left: error => error, Right: () => undefined });
    }

    /** Merges the record of another daemon; false when it is not new. */
    #accept(member: Member): boolean {
        const holder = this.#findHolder(member);
        const isHeldByOther = holder !== undefined && holder.id !== member.id;
        if (isHeldByOther && holder.incarnation > member.incarnation || !this.#addRecord(member)) {
            return false;
        }
        if (isHeldByOther) {
            // The address passed from a VM that is gone to another one.
            this.#removeRecord(holder);
            this.#options.log.info(`daemon ${holder.id} is gone: ${member.id} has its address.`, { member: holder });
            this.#options.onMemberRemoved(holder);
        }
        if (isPresent(member)) {
            this.#options.log.info(`daemon ${member.id} of ${member.server?.service ?? "no service"} is known.`, {
                member,
            });
            this.#options.onMemberUpdated(member);
        }
        else {
            this.#options.log.info(`daemon ${member.id} has left.`, { member });
            this.#options.onMemberLeft(member);
        }
        return true;
    }

    /**
     * Raises the own incarnation above a record of an earlier run, which is higher after the clock was set back, or
     * says that this daemon has left. Returns whether it did.
     */
    #refute(record: Member): boolean {
        const isLater = record.incarnation > this.#self.incarnation
            || record.incarnation === this.#self.incarnation && record.revision > this.#self.revision;
        if (isLater) {
            this.#self = { ...this.#self, incarnation: record.incarnation + 1 };
            this.#addRecord(this.#self);
        }
        return isLater;
    }

    #findHolder(member: Member): Member | undefined {
        const id = this.#idsByAddress.get(formatAddress(member));
        return id === undefined ? undefined : this.table.get(id);
    }

    #addRecord(member: Member): boolean {
        const previous = this.table.get(member.id);
        if (!this.table.merge(member)) {
            return false;
        }
        if (previous !== undefined && this.#idsByAddress.get(formatAddress(previous)) === member.id) {
            this.#idsByAddress.delete(formatAddress(previous));
        }
        this.#idsByAddress.set(formatAddress(member), member.id);
        return true;
    }

    #removeRecord(member: Member): void {
        this.table.remove(member.id);
        if (this.#idsByAddress.get(formatAddress(member)) === member.id) {
            this.#idsByAddress.delete(formatAddress(member));
        }
    }
}

function formatAddress({ address, peerPort }: Member): string {
    return `${address}:${peerPort}`;
}
