/** Membership states, in ascending order of precedence between records of equal incarnation and revision. */
export const MemberState = {
    Starting: "starting",
    Live: "live",
    Leaving: "leaving",
    Left: "left",
    Dead: "dead",
} as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/** The backend server of a daemon, as it announced itself. */
export interface ServerRecord {
    readonly service: string;
    readonly address: string;
    readonly port: number;
    /** Slots and connections that the server offers to the whole mesh. */
    readonly slots: number;
    readonly connections: number;
}

/**
 * One daemon and its backend server. Written only by that daemon, except for `dead`, which another
 * daemon of the same failure domain may set. Records merge by higher incarnation, then higher
 * revision, then the order of `MemberState`.
 */
export interface Member {
    readonly id: string;
    readonly address: string;
    /** Port for `ws` connections of other daemons. */
    readonly peerPort: number;
    /** Port for HTTP requests relayed by other daemons. */
    readonly relayPort: number;
    readonly failureDomain: string;
    readonly region: string;
    /** Start time of the daemon in milliseconds, raised above any incarnation that other daemons hold for it. */
    readonly incarnation: number;
    /** Counts changes of the record within one incarnation. */
    readonly revision: number;
    readonly state: MemberState;
    readonly server?: ServerRecord;
    /** Rate of the VM's link; undefined in records of daemons that don't tell it. */
    readonly linkMegabitsPerSecond?: number;
}
