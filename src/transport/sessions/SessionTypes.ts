import type { Confirmation, WatchReport } from "../../coordination/distribution/index.js";
import type { OwnerLoad } from "../../coordination/placement/index.js";
import type { ServerIdentity } from "../../coordination/registration/index.js";
import type { GossipMessage } from "../../protocol/session/index.js";
import type { Member } from "../../state/members/index.js";
import type { PartLogger } from "../logging/index.js";
import type { OwnedRequest, RequestEvents, RequestHandle } from "../ownership/index.js";
import type { AgeClock, Timers } from "../timers/index.js";
import type { UplinkSender } from "../uplink/index.js";

/** Status that a daemon sends with each ping and pong. */
export interface LocalStatus {
    /** Version in force; undefined when there is none. */
    readonly version: number | undefined;
    /** Working watches of the store in the daemon's region. */
    readonly watches: readonly WatchReport[];
    /** Digest of all member records that the daemon holds. */
    readonly membersDigest: number;
    /** When `version` was last known to be the newest one in the store; undefined while that isn't known. */
    readonly confirmation: Confirmation | undefined;
}

/** Status received from another daemon. */
export interface PeerStatus extends LocalStatus {
    readonly id: string;
}

/** Functions of the daemon that sessions use. */
export interface SessionDependencies {
    readonly log: PartLogger;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
    /** Measures how long messages were on their way, for the ages that they tell. */
    readonly ageClock: Pick<AgeClock, "measureSince" | "now">;
    readonly random: () => number;
    readonly timers: Timers;
    readSelf(): Member;
    readStatus(): LocalStatus;
    readLoad(): OwnerLoad;
    /** Identity of the own server, which other daemons remember for it. */
    readServerIdentity(): ServerIdentity | undefined;
    /** Called with the identity of the own server that another daemon remembers. */
    onServerIdentity(server: ServerIdentity): void;
    /** Called with the member records of another daemon. */
    onMembers(members: readonly Member[]): void;
    onStatus(status: PeerStatus): void;
    /** Version in force; undefined when there is none. */
    readVersion(): number | undefined;
    /** Called with the version in force at another daemon, which comes with its requests and answers. */
    onVersion(id: string, version: number): void;
    /**
     * Called with a message that concerns neither a request nor the session, and the longest time that it can have been on
     * its way; Infinity if that isn't known or the kind doesn't tell when it was sent.
     */
    onGossip(id: string, message: Exclude<GossipMessage, { readonly kind: "status"; }>, transitMs: number): void;
    /** Called when a connection to another daemon is usable, of either side. */
    onConnected(id: string): void;
    /** Sends large answers at the rate that the link allows. */
    readonly uplink: UplinkSender;
    /** Submits a request of another daemon to the own server. */
    submit(request: OwnedRequest, events: RequestEvents): RequestHandle;
}
