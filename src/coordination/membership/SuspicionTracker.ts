import type { Member } from "../../state/members/index.js";
import { isPresent, MemberState } from "../../state/members/index.js";

/** Time in which a suspect can refute the suspicion with a higher incarnation. */
export const SUSPICION_TIMEOUT_MS = 3_000;

interface Suspicion {
    readonly incarnation: number;
    readonly since: number;
}

/** Tracks members that a direct connection attempt did not reach, until they refute it or are declared dead. */
export class SuspicionTracker {
    private readonly suspects = new Map<string, Suspicion>();

    /** Adds a suspicion; returns whether it is new. */
    add(member: Member, now: number): boolean {
        const held = this.suspects.get(member.id);
        if (held !== undefined && held.incarnation >= member.incarnation) {
            return false;
        }
        this.suspects.set(member.id, { incarnation: member.incarnation, since: now });
        return true;
    }

    clear(id: string): void {
        this.suspects.delete(id);
    }

    /** Removes refuted and expired suspicions; returns the members to declare dead. */
    expire(lookup: (id: string) => Member | undefined, failureDomain: string, now: number): readonly Member[] {
        const dead: Member[] = [];
        for (const [id, suspicion] of this.suspects) {
            const member = lookup(id);
            const isRefuted = member === undefined || member.incarnation > suspicion.incarnation || !isPresent(member);
            if (isRefuted || now - suspicion.since >= SUSPICION_TIMEOUT_MS) {
                this.suspects.delete(id);
                // Only a member of the same failure domain can tell a dead member from a cut-off domain.
                if (!isRefuted && member.failureDomain === failureDomain) {
                    dead.push({ ...member, state: MemberState.Dead });
                }
            }
        }
        return dead;
    }
}
