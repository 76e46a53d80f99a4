import type { DistributionIntervals, TreePosition } from "../../coordination/distribution/index.js";
import type { Candidate, LinkRole, MessageKind, MessageOf } from "../../protocol/peer/index.js";
import type { Member, MemberTable } from "../../state/members/index.js";
import type { Timers } from "../timers/index.js";
import type { Link } from "./Link.js";
import type { LinkSet } from "./LinkSet.js";
import type { MeshOptions } from "./MeshOptions.js";

/** State and operations shared by the components of a mesh node. */
export interface MeshContext {
    readonly options: MeshOptions;
    readonly table: MemberTable;
    readonly links: LinkSet;
    readonly timers: Timers;
    /** Monotonic milliseconds for intervals; see `createMonotonicClock`. */
    readonly now: () => number;
    getIntervals(): DistributionIntervals;
    getPosition(): TreePosition;
    getOwnRecord(): Member;
    /** Opens a link; resolves with undefined if the peer is unreachable or the handshake fails. */
    dial(candidate: Candidate, role: LinkRole): Promise<Link | undefined>;
    /** Whether the daemon has joined the mesh and may act as a relay. */
    isJoined(): boolean;
    isStopped(): boolean;
}

/** Message handlers of one component, by message kind. */
export type MessageHandlers = { readonly [K in MessageKind]?: (message: MessageOf<K>, link: Link) => void; };

/** A component of a mesh node, which notifies it of links, messages and ticks. */
export interface MeshComponent {
    readonly handlers: MessageHandlers;
    onLinkAdded?(link: Link): void;
    onLinkRemoved?(link: Link): void;
    /** Called every `TICK_MS`. */
    tick?(): void;
}
