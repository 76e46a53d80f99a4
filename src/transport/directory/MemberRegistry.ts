/**
 * Discovers the other daemons: each writes its record to the store once and then reads those of the
 * others, so that of two that start together at least one finds the other and connects to it.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { generateBackoffDelays } from "../../coordination/retries/index.js";
import { MemberTable } from "../../state/members/index.js";
import type { Member } from "../../state/members/index.js";
import type { MeshStorePort, StoreError } from "../../state/store/index.js";
import type { PartLogger } from "../logging/index.js";
import { STORE_RETRY_BASE_MS, STORE_RETRY_MAXIMUM_MS } from "./DirectoryConstants.js";

export interface MemberRegistryOptions {
    readonly self: Member;
    /** Whether the whole mesh starts for the first time, so that the store can't hold a record of this daemon. */
    readonly isFirstStart: boolean;
    readonly store: MeshStorePort;
    readonly log: PartLogger;
    readonly random: () => number;
    /** Called with a daemon that was removed. */
    onMemberRemoved(member: Member): void;
    /** Called with each record that is new or replaced an older one, except the own one. */
    onMemberUpdated(member: Member): void;
}

export class MemberRegistry {
    readonly #options: MemberRegistryOptions;
    readonly #table = new MemberTable();
    #self: Member;
    #isRegistered = false;
    #isStopping = false;

    constructor(options: MemberRegistryOptions) {
        this.#options = options;
        this.#self = options.self;
    }

    get self(): Member {
        return this.#self;
    }

    /** Whether the own record is known to be in the store and those of the others were read. */
    get isRegistered(): boolean {
        return this.#isRegistered;
    }

    /** All records, the own one included. */
    list(): readonly Member[] {
        return [this.#self, ...this.#table.listAll()];
    }

    get(id: string): Member | undefined {
        return this.#table.get(id);
    }

    /** Merges records that were read from the store or received from other daemons. */
    merge(members: readonly Member[]): void {
        for (const member of members) {
            if (member.id === this.#self.id) {
                this.#raiseIncarnation(member);
            }
            else if (!this.#isSuperseded(member) && this.#table.merge(member)) {
                this.#removeMembersAtSameAddress(member);
                this.#options.log.info(
                    `daemon ${member.id} of ${member.server?.service ?? "no service"} is known.`,
                    {
                        member,
                    },
                );
                this.#options.onMemberUpdated(member);
            }
        }
    }

    /** Registers this daemon and reads the records of the others, with retries until both are done. */
    async register(): Promise<void> {
        const delays = generateBackoffDelays(STORE_RETRY_BASE_MS, STORE_RETRY_MAXIMUM_MS, this.#options.random);
        let isWritten = false;
        let mayBeStored = !this.#options.isFirstStart;
        let isStoreUnreachable = false;
        while (!this.#isStopping && !this.#isRegistered) {
            const error = await (mayBeStored || isWritten ? this.#readMembers(isWritten) : this.#writeSelf());
            if (error === undefined) {
                isWritten ||= !mayBeStored;
                mayBeStored = false;
                if (isStoreUnreachable) {
                    isStoreUnreachable = false;
                    this.#options.log.info("the store answers again.");
                }
                continue;
            }
            if (!isStoreUnreachable) {
                isStoreUnreachable = true;
                this.#options.log.warn(`the own record can't be registered: ${error.detail}.`, { error });
            }
            await sleep(delays.next().value);
        }
    }

    /**
     * Removes a daemon that has been unreachable for long; its own hello adds it again when it returns.
     * `shouldDelete` removes its record from the store as well.
     */
    async remove(member: Member, shouldDelete: boolean): Promise<void> {
        this.#table.remove(member.id);
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
    }

    async #readMembers(isWritten: boolean): Promise<StoreError | undefined> {
        const result = await this.#options.store.listMembers();
        return result.caseOf<StoreError | undefined>({
            Left: error => error,
            Right: members => {
                const own = members.find(({ id }) => id === this.#self.id);
                this.#isRegistered = isWritten || own !== undefined && isSameLocation(own, this.#self);
                this.merge(members);
                return undefined;
            },
        });
    }

    async #writeSelf(): Promise<StoreError | undefined> {
        const result = await this.#options.store.writeMember(this.#self);
        return result.caseOf<StoreError | undefined>({ Left: error => error, Right: () => undefined });
    }

    /** Whether a daemon that started later has the record's address. */
    #isSuperseded(member: Member): boolean {
        return this.list().some(other =>
            other.id !== member.id && isSameAddress(other, member) && other.incarnation > member.incarnation
        );
    }

    /** Removes other daemons at the same address, which passed from a VM that is gone to another one. */
    #removeMembersAtSameAddress(member: Member): void {
        for (const other of [...this.#table.listAll()]) {
            if (other.id !== member.id && isSameAddress(other, member)) {
                this.#table.remove(other.id);
                this.#options.log.info(`daemon ${other.id} is gone: ${member.id} has its address.`, { member: other });
                this.#options.onMemberRemoved(other);
            }
        }
    }

    /** Raises the own incarnation above an earlier run's, which may be higher after the clock was set back. */
    #raiseIncarnation(record: Member): void {
        if (record.incarnation > this.#self.incarnation) {
            this.#self = { ...this.#self, incarnation: record.incarnation + 1 };
        }
    }
}

function isSameAddress(left: Member, right: Member): boolean {
    return left.address === right.address && left.peerPort === right.peerPort;
}

/** Whether two records agree in all fields that don't belong to a single run. */
function isSameLocation(left: Member, right: Member): boolean {
    return isSameAddress(left, right) && left.failureDomain === right.failureDomain && left.region === right.region
        && left.server?.service === right.server?.service && left.server?.port === right.server?.port;
}
