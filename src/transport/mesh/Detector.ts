import { SuspicionTracker } from "../../coordination/membership/index.js";
import { LinkRole } from "../../protocol/peer/index.js";
import type { CutOffDomain, MessageOf } from "../../protocol/peer/index.js";
import { isPresent } from "../../state/members/index.js";
import type { Exclusions } from "./Exclusions.js";
import type { Link } from "./Link.js";
import type { MemberExchange } from "./MemberExchange.js";
import { HEARTBEAT_MS, MISSED_HEARTBEATS, TOMBSTONE_MS } from "./MeshConstants.js";
import type { MeshContext, MeshPart, MessageHandlers } from "./MeshContext.js";
import { sleepFor } from "./Timers.js";

/** Time for a lost link to be re-established before the member is checked. */
const RECONNECT_GRACE_MS = 500;
const EXPIRY_INTERVAL_MS = 10_000;

/** Sends heartbeats, finds members that are gone, and refutes suspicions of this daemon. */
export class Detector implements MeshPart {
    readonly handlers: MessageHandlers = {
        beat: (message, link) => {
            link.cutOff = message.cutOff;
        },
        suspect: (message, link) => this.handleSuspect(message, link),
    };
    private readonly suspicions = new SuspicionTracker();
    /** Highest incarnation for which a suspicion was passed on, by member. */
    private readonly passedOn = new Map<string, number>();
    private readonly checking = new Set<string>();
    /** When a record of a member that left or died was first seen. */
    private readonly goneSince = new Map<string, number>();
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
            if (now - link.lastHeardAt > HEARTBEAT_MS * (MISSED_HEARTBEATS + 1)) {
                link.close();
            }
            else if (now - link.lastSentAt >= HEARTBEAT_MS && link.relation !== "query") {
                link.send({ cutOff: link.relation === "parent" ? [] : this.listCutOff(), kind: "beat" });
            }
        }
        const { failureDomain } = this.context.options;
        for (const dead of this.suspicions.expire(id => this.context.table.get(id), failureDomain, now)) {
            this.context.options.log.warn({ member: dead.id }, "mesh: member declared dead.");
            this.members.take(dead, undefined);
        }
        this.expireRecords(now);
    }

    onLinkRemoved(link: Link): void {
        if (link.isTreeLink && !link.isEnding) {
            void this.check(link.id);
        }
    }

    /** Checks a member that could not be reached; it becomes a suspect when it still cannot. */
    async check(id: string): Promise<void> {
        if (this.checking.has(id) || this.context.isStopped()) {
            return;
        }
        this.checking.add(id);
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
        this.checking.delete(id);
    }

    private suspect(id: string): void {
        const member = this.context.table.get(id);
        if (member !== undefined && isPresent(member) && this.suspicions.add(member, this.context.now())) {
            this.exclusions.add(id);
            this.context.options.log.info({ member: id }, "mesh: member suspected.");
            this.passOn({ id, incarnation: member.incarnation, kind: "suspect" }, undefined);
        }
    }

    private handleSuspect(message: MessageOf<"suspect">, link: Link): void {
        if (message.id === this.members.getOwn().id) {
            if (message.incarnation >= this.members.getOwn().incarnation) {
                this.members.refute(message.incarnation);
            }
            return;
        }
        this.passOn(message, link);
    }

    private passOn(message: MessageOf<"suspect">, source: Link | undefined): void {
        if ((this.passedOn.get(message.id) ?? 0) < message.incarnation) {
            this.passedOn.set(message.id, message.incarnation);
            this.context.links.listTree().filter(link => link !== source).forEach(link => link.send(message));
        }
    }

    /** Drops records of members that are gone; kept until then so that old records do not return. */
    private expireRecords(now: number): void {
        if (now < this.nextExpiryAt) {
            return;
        }
        this.nextExpiryAt = now + EXPIRY_INTERVAL_MS;
        const gone = [...this.context.table.listAll()].filter(member => !isPresent(member));
        const ids = new Set(gone.map(member => member.id));
        [...this.goneSince.keys()].filter(id => !ids.has(id)).forEach(id => this.goneSince.delete(id));
        for (const { id } of gone) {
            const since = this.goneSince.get(id) ?? now;
            this.goneSince.set(id, since);
            if (now - since >= TOMBSTONE_MS) {
                this.context.table.remove(id);
                this.passedOn.delete(id);
            }
        }
    }
}
