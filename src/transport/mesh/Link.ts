import type { MeshSummary } from "../../coordination/summary/index.js";
import { encodeMessage, LinkRole } from "../../protocol/peer/index.js";
import type { AuthenticatedPeer, CutOffDomain, PeerMessage, PeerSession } from "../../protocol/peer/index.js";

/** Relation of a peer to this daemon. */
export type LinkRelation = "parent" | "child" | "relay" | "neighbour" | "query";

/** An authenticated connection to another daemon, and the state that the peer has reported. */
export class Link {
    readonly relation: LinkRelation;
    lastReceivedAt: number;
    lastSentAt: number;
    /** Version that the peer reported to hold completely. */
    heldVersion = 0;
    heldRoot = "";
    /** Version last sent to the peer, and the time of sending. */
    sentVersion = 0;
    sentVersionAt = 0;
    cutOff: readonly CutOffDomain[] = [];
    summary: MeshSummary | undefined;
    /** Set when either side has announced the end of the link, which is then no failure. */
    isClosing = false;
    failedUpdates = 0;

    constructor(
        readonly peer: AuthenticatedPeer,
        readonly isOutgoing: boolean,
        private readonly session: PeerSession,
        readonly openedAt: number,
        private readonly now: () => number,
    ) {
        this.lastReceivedAt = openedAt;
        this.lastSentAt = openedAt;
        this.relation = peer.role === LinkRole.Child ? (isOutgoing ? "parent" : "child") : peer.role;
    }

    get id(): string {
        return this.peer.id;
    }

    /** Whether member records, versions and releases are distributed over the link. */
    get isTreeLink(): boolean {
        return this.relation === "parent" || this.relation === "child" || this.relation === "relay";
    }

    send(message: PeerMessage): void {
        this.sendFrame(encodeMessage(message));
    }

    sendFrame(frame: Uint8Array): void {
        this.lastSentAt = this.now();
        this.session.sendFrame(frame);
    }

    readMessages(): AsyncGenerator<PeerMessage> {
        return this.session.readMessages();
    }

    close(): void {
        this.session.close();
    }
}
