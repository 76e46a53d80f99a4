import type { MeshSummary } from "../../coordination/summary/index.js";
import { encodeMessage, LinkRole } from "../../protocol/peer/index.js";
import type { AuthenticatedPeer, CutOffDomain, PeerMessage, PeerSession } from "../../protocol/peer/index.js";

/** What the other side of a link is to this daemon. */
export type LinkRelation = "parent" | "child" | "relay" | "neighbour" | "query";

/** An authenticated connection to another daemon and what is known of its other side. */
export class Link {
    readonly relation: LinkRelation;
    lastReceivedAt: number;
    lastSentAt: number;
    /** Version that the other side said it holds whole. */
    heldVersion = 0;
    heldRoot = "";
    /** Version that was last sent to it, and when. */
    sentVersion = 0;
    sentVersionAt = 0;
    cutOff: readonly CutOffDomain[] = [];
    summary: MeshSummary | undefined;
    /** The other side said that it goes; its end is no failure. */
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

    /** Whether members, versions and releases spread over the link. */
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
