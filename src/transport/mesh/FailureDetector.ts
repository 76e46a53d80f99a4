import { SuspicionTracker } from "../../coordination/membership/index.js";
import { LinkRole } from "../../protocol/peer/index.js";
import type { CutOffDomain, MessageOf } from "../../protocol/peer/index.js";
import { isPresent } from "../../state/members/index.js";
import { sleepFor } from "../timers/index.js";
import type { Exclusions } from "./Exclusions.js";
import type { Link } from "./Link.js";
import type { MemberExchange } from "./MemberExchange.js";
import { HEARTBEAT_MS, MISSED_HEARTBEATS, TOMBSTONE_RETENTION_MS } from "./MeshConstants.js";
import type { MeshComponent, MeshContext, MessageHandlers } from "./MeshContext.js";

/** Time for a lost link to be re-established before the member is checked. */
const RECONNECT_GRACE_MS = 500;
const EXPIRY_INTERVAL_MS = 10_000;

/** Sends heartbeats, detects failed members, and refutes suspicions of this daemon. */
export class FailureDetector implements MeshComponent {
    readonly handlers: MessageHandlers = {
        beat: (message, link) => {
            link.cutOff = message.cutOff;
        },
        suspect: (message, link) => this.handleSuspect(message, link),
    };
    private readonly suspicions = new SuspicionTracker();
    /** Highest incarnation for which a suspicion was forwarded, by member. */
    private readonly forwardedIncarnations = new Map<string, number>();
    private readonly membersInCheck = new Set<string>();
    /** Time at which a member was first seen as left or dead, by member. */
    private readonly departedSince = new Map<string, number>();
    private nextExpiryAt = EXPIRY_INTERVAL_MS;

    constructor(
        private readonly context: MeshContext,
        private readonly members: MemberExchange,
        private readonly exclusions: Exclusions,
        private readonly listCutOff: () => readonly CutOffDomain[],
    ) {}

    tick(): void {
        const now = this.context.now();
        for (const link of this.context.links.list()) {
            if (now - link.lastReceivedAt > HEARTBEAT_MS * (MISSED_HEARTBEATS + 1)) {
                link.close();
            }
            else if (now - link.lastSentAt >= HEARTBEAT_MS && link.relation !== "query") {
                link.send({ cutOff: link.relation === "parent" ? [] : this.listCutOff(), kind: "beat" });
            }
        }
        const { failureDomain } = this.context.options;
        for (const dead of this.suspicions.expire(id => this.context.table.get(id), failureDomain, now)) {
            this.context.options.log.warn({ member: dead.id }, "mesh: member declared dead.");
            this.members.mergeRecord(dead, undefined);
        }
        this.expireRecords(now);
    }

    onLinkRemoved(link: Link): void {
        if (link.isTreeLink && !link.isClosing) {
            void this.checkMember(link.id);
        }
    }

    /** Connects to a member that could not be reached, and suspects it if that fails again. */
    async checkMember(id: string): Promise<void> {
        if (this.membersInCheck.has(id) || this.context.isStopped()) {
            return;
        }
        this.membersInCheck.add(id);
        await sleepFor(this.context.timers, RECONNECT_GRACE_MS);
        const member = this.context.table.get(id);
        const isSame = member?.failureDomain === this.context.options.failureDomain && isPresent(member);
        if (isSame && this.context.links.find(id) === undefined && !this.context.isStopped()) {
            const link = await this.context.dial(member, LinkRole.Query);
            if (link === undefined) {
                this.suspect(id);
            }
            link?.close();
        }
        this.membersInCheck.delete(id);
    }

    private suspect(id: string): void {
        const member = this.context.table.get(id);
        if (member !== undefined && isPresent(member) && this.suspicions.add(member, this.context.now())) {
            this.exclusions.add(id);
            this.context.options.log.info({ member: id }, "mesh: member suspected.");
            this.forwardSuspicion({ id, incarnation: member.incarnation, kind: "suspect" }, undefined);
        }
    }

    private handleSuspect(message: MessageOf<"suspect">, link: Link): void {
        if (message.id === this.members.getOwnRecord().id) {
            if (message.incarnation >= this.members.getOwnRecord().incarnation) {
                this.members.refute(message.incarnation);
            }
            return;
        }
        this.forwardSuspicion(message, link);
    }

    private forwardSuspicion(message: MessageOf<"suspect">, source: Link | undefined): void {
        if ((this.forwardedIncarnations.get(message.id) ?? 0) < message.incarnation) {
            this.forwardedIncarnations.set(message.id, message.incarnation);
            this.context.links.listTreeLinks().filter(link => link !== source).forEach(link => link.send(message));
        }
    }

    /**
     * Removes records of members that left or died once `TOMBSTONE_RETENTION_MS` have passed; until then they
     * supersede older records.
     */
    private expireRecords(now: number): void {
        if (now < this.nextExpiryAt) {
            return;
        }
        this.nextExpiryAt = now + EXPIRY_INTERVAL_MS;
        const departed = [...this.context.table.listAll()].filter(member => !isPresent(member));
        const ids = new Set(departed.map(member => member.id));
        [...this.departedSince.keys()].filter(id => !ids.has(id)).forEach(id => this.departedSince.delete(id));
        for (const { id } of departed) {
            const since = this.departedSince.get(id) ?? now;
            this.departedSince.set(id, since);
            if (now - since >= TOMBSTONE_RETENTION_MS) {
                this.context.table.remove(id);
                this.forwardedIncarnations.delete(id);
            }
        }
    }
}
