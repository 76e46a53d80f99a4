import type { Candidate, FrameConnection, LinkRole, PeerMessage, SessionOptions } from "../../protocol/peer/index.js";
import { MessageError, PeerSession } from "../../protocol/peer/index.js";
import type { AuthenticatedPeer } from "../../protocol/peer/index.js";
import type { PeerNetwork } from "../peer/index.js";
import type { Timers } from "../timers/index.js";
import { withTimeout } from "../timers/index.js";
import { Link } from "./Link.js";
import { CONCURRENT_HANDSHAKE_LIMIT, HANDSHAKE_TIMEOUT_MS } from "./MeshConstants.js";
import type { MeshLog } from "./MeshOptions.js";

export interface LinkCallbacks {
    /** Returns the candidates to which a daemon is redirected, or undefined to admit it. */
    selectRedirectCandidates(peer: AuthenticatedPeer): readonly Candidate[] | undefined;
    onAdded(link: Link): void;
    onRemoved(link: Link): void;
    onMessage(message: PeerMessage, link: Link): void;
}

/** Opens and accepts links, and receives their messages. */
export class LinkConnector {
    private pendingHandshakes = 0;

    constructor(
        private readonly network: PeerNetwork,
        private readonly session: SessionOptions,
        private readonly timers: Timers,
        private readonly now: () => number,
        private readonly log: MeshLog,
        private readonly callbacks: LinkCallbacks,
    ) {}

    async dial(candidate: Candidate, role: LinkRole): Promise<Link | undefined> {
        const connecting = this.network.connect(candidate.address, candidate.peerPort);
        const connection = await withTimeout(this.timers, HANDSHAKE_TIMEOUT_MS, connecting);
        if (connection === undefined) {
            void connecting.then(late => late.close(), () => undefined);
            return undefined;
        }
        const session = new PeerSession(connection, this.session);
        return this.openLink(session, session.connect(role), true);
    }

    /** Runs the handshake of an accepted connection. */
    async accept(connection: FrameConnection): Promise<void> {
        if (this.pendingHandshakes >= CONCURRENT_HANDSHAKE_LIMIT) {
            connection.close();
            return;
        }
        this.pendingHandshakes++;
        const session = new PeerSession(connection, this.session);
        await this.openLink(session, session.accept(), false).finally(() => {
            this.pendingHandshakes--;
        });
    }

    private async openLink(
        session: PeerSession,
        handshake: Promise<AuthenticatedPeer>,
        isOutgoing: boolean,
    ): Promise<Link | undefined> {
        handshake.catch((error: unknown) => this.log.debug({ error: String(error) }, "peer: handshake failed."));
        const peer = await withTimeout(this.timers, HANDSHAKE_TIMEOUT_MS, handshake);
        if (peer === undefined) {
            session.close();
            return undefined;
        }
        const candidates = isOutgoing ? undefined : this.callbacks.selectRedirectCandidates(peer);
        if (candidates !== undefined) {
            session.send({ candidates, kind: "redirect", stopping: false });
            session.close();
            return undefined;
        }
        const link = new Link(peer, isOutgoing, session, this.now(), this.now);
        this.callbacks.onAdded(link);
        void this.receiveMessages(link);
        return link;
    }

    private async receiveMessages(link: Link): Promise<void> {
        try {
            for await (const message of link.readMessages()) {
                link.lastReceivedAt = this.now();
                this.callbacks.onMessage(message, link);
            }
        }
        catch (error) {
            if (!(error instanceof MessageError)) {
                throw error;
            }
            this.log.warn({ error: error.message, peer: link.id }, "peer: connection closed for a malformed message.");
        }
        finally {
            link.close();
            this.callbacks.onRemoved(link);
        }
    }
}
