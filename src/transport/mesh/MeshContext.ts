import type { DistributionIntervals, TreePosition } from "../../coordination/distribution/index.js";
import type { Candidate, LinkRole, MessageKind, MessageOf } from "../../protocol/peer/index.js";
import type { Member, MemberTable } from "../../state/members/index.js";
import type { Link } from "./Link.js";
import type { LinkSet } from "./LinkSet.js";
import type { MeshOptions } from "./MeshOptions.js";
import type { Timers } from "./Timers.js";

/** What the parts of a mesh node share. */
export interface MeshContext {
    readonly options: MeshOptions;
    readonly table: MemberTable;
    readonly links: LinkSet;
    readonly timers: Timers;
    /** Steady milliseconds for intervals; see `SteadyClock`. */
    readonly now: () => number;
    getIntervals(): DistributionIntervals;
    getPosition(): TreePosition;
    getOwnRecord(): Member;
    /** Opens a link; undefined when the other side cannot be reached or refuses the handshake. */
    dial(candidate: Candidate, role: LinkRole): Promise<Link | undefined>;
    /** Whether the daemon knows the mesh well enough to take a role in it. */
    isJoined(): boolean;
    isStopped(): boolean;
}

/** Handlers of the messages that one part is responsible for. */
export type MessageHandlers = { readonly [K in MessageKind]?: (message: MessageOf<K>, link: Link) => void; };

/** One responsibility of a mesh node; parts learn of links and messages by these calls. */
export interface MeshComponent {
    readonly handlers: MessageHandlers;
    onLinkAdded?(link: Link): void;
    onLinkRemoved?(link: Link): void;
    /** Called every `TICK_MS`. */
    tick?(): void;
}
