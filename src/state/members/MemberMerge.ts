import { MemberState } from "./Member.js";
import type { Member } from "./Member.js";

const STATE_ORDER: readonly MemberState[] = [
    MemberState.Starting,
    MemberState.Live,
    MemberState.Leaving,
    MemberState.Left,
    MemberState.Dead,
];

/** Compares two records of one daemon; positive if `a` supersedes `b`. */
export function compareRecords(a: Member, b: Member): number {
    return a.incarnation - b.incarnation
        || a.revision - b.revision
        || STATE_ORDER.indexOf(a.state) - STATE_ORDER.indexOf(b.state);
}

/** Returns whether the daemon of the record takes part in the mesh. */
export function isPresent(member: Member): boolean {
    return member.state !== MemberState.Left && member.state !== MemberState.Dead;
}

/** Returns whether two records agree in all fields that don't belong to a single run. */
export function isSameLocation(left: Member, right: Member): boolean {
    return left.address === right.address && left.peerPort === right.peerPort
        && left.failureDomain === right.failureDomain && left.region === right.region
        && left.server?.service === right.server?.service && left.server?.port === right.server?.port;
}
