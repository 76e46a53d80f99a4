import { getReceivedVersion } from "../../coordination/distribution/index.js";
import { LinkRole } from "../../protocol/peer/index.js";
import type { Candidate, MessageOf } from "../../protocol/peer/index.js";
import type { Exclusions } from "./Exclusions.js";
import type { Link } from "./Link.js";
import type { MemberExchange } from "./MemberExchange.js";
import type { MeshComponent, MeshContext, MessageHandlers } from "./MeshContext.js";
import type { VersionExchange } from "./VersionExchange.js";

/** Time after which another neighbour is selected; it also bounds how long a failed member can go unnoticed. */
const NEIGHBOUR_ROTATION_MS = 10_000;
/** Delay before links to other region relays are retried after a failed attempt. */
const RELAY_RETRY_MS = 1_000;
/** Initial interval at which a region relay looks for unknown members; it doubles up to the maximum. */
const DISCOVERY_INITIAL_INTERVAL_MS = 500;
const DISCOVERY_MAXIMUM_INTERVAL_MS = 10_000;

/** Maintains links between region relays and to one neighbour at a time, and compares digests over them. */
export class AntiEntropy implements MeshComponent {
    readonly handlers: MessageHandlers = {
        digest: (message, link) => this.handleDigest(message, link),
    };
    private lastDigestAt = 0;
    private nextRelayAttemptAt = 0;
    private nextDiscoveryAt = 0;
    private discoveryIntervalMs = DISCOVERY_INITIAL_INTERVAL_MS;
    private isRunning = false;

    constructor(
        private readonly context: MeshContext,
        private readonly members: MemberExchange,
        private readonly versions: VersionExchange,
        private readonly exclusions: Exclusions,
        private readonly callbacks: {
            /** Lists addresses at which members of an unknown part of the mesh may be found. */
            listRemoteEntries(): Promise<readonly Candidate[]>;
            onUnreachable(id: string): void;
        },
    ) {}

    onLinkAdded(link: Link): void {
        if (link.isOutgoing && link.relation !== "query") {
            this.sendDigest(link);
        }
    }

    tick(): void {
        if (this.isRunning) {
            return;
        }
        this.isRunning = true;
        void this.runRound().finally(() => {
            this.isRunning = false;
        });
    }

    private async runRound(): Promise<void> {
        await this.maintainRelayLinks();
        await this.findUnknownMembers();
        const now = this.context.now();
        if (now - this.lastDigestAt >= this.context.getIntervals().digestMs) {
            this.lastDigestAt = now;
            this.listUpstreamLinks().forEach(link => this.sendDigest(link));
            const neighbour = await this.selectNeighbour();
            if (neighbour !== undefined) {
                this.sendDigest(neighbour);
            }
        }
    }

    /** Lists the links over which differences between failure domains are repaired. */
    private listUpstreamLinks(): readonly Link[] {
        const relays = this.context.links.listByRelation("relay").filter(link => link.isOutgoing);
        const parent = this.context.getPosition().isDomainRelay ? this.context.links.getParent() : undefined;
        return parent === undefined ? relays : [...relays, parent];
    }

    private async maintainRelayLinks(): Promise<void> {
        const wanted = this.context.getPosition().otherRegionRelays;
        const { links } = this.context;
        links.listByRelation("relay")
            .filter(link => link.isOutgoing && !wanted.includes(link.id) && !link.isClosing)
            .forEach(link => this.closeLink(link));
        if (this.context.now() < this.nextRelayAttemptAt) {
            return;
        }
        for (const id of wanted.filter(other => links.find(other, "relay") === undefined)) {
            const member = this.context.table.get(id);
            const link = member === undefined ? undefined : await this.context.dial(member, LinkRole.Relay);
            if (link === undefined) {
                this.exclusions.add(id);
                this.nextRelayAttemptAt = this.context.now() + RELAY_RETRY_MS;
            }
        }
    }

    /** Finds members that formed a separate mesh, by connecting to a listed address that belongs to no known member. */
    private async findUnknownMembers(): Promise<void> {
        const now = this.context.now();
        if (!this.context.getPosition().isRegionRelay || now < this.nextDiscoveryAt) {
            return;
        }
        this.discoveryIntervalMs = Math.min(2 * this.discoveryIntervalMs, DISCOVERY_MAXIMUM_INTERVAL_MS);
        this.nextDiscoveryAt = now + this.discoveryIntervalMs * (1 + this.context.options.random()) / 2;
        const known = new Set([...this.context.table.listAll()].map(formatAddress));
        const unknown = (await this.callbacks.listRemoteEntries()).filter(entry => !known.has(formatAddress(entry)));
        const entry = unknown[Math.floor(this.context.options.random() * unknown.length)];
        if (entry !== undefined) {
            await this.context.dial(entry, LinkRole.Neighbour);
        }
    }

    private async selectNeighbour(): Promise<Link | undefined> {
        const { failureDomain, id, random } = this.context.options;
        const current = this.context.links.listByRelation("neighbour").find(link => link.isOutgoing);
        if (current !== undefined && this.context.now() - current.openedAt < NEIGHBOUR_ROTATION_MS) {
            return current;
        }
        if (current !== undefined) {
            this.closeLink(current);
        }
        const others = this.context.table.listRankedIds(failureDomain).filter(other => other !== id);
        const chosen = others[Math.floor(random() * others.length)];
        const member = chosen === undefined ? undefined : this.context.table.get(chosen);
        if (member === undefined) {
            return undefined;
        }
        const existing = this.context.links.find(member.id);
        if (existing !== undefined && existing.relation !== "query") {
            return existing;
        }
        const link = await this.context.dial(member, LinkRole.Neighbour);
        if (link === undefined) {
            this.callbacks.onUnreachable(member.id);
        }
        return link;
    }

    private closeLink(link: Link): void {
        link.isClosing = true;
        link.send({ candidates: [], kind: "redirect", stopping: false });
        link.close();
    }

    private sendDigest(link: Link): void {
        const versionState = this.versions.getVersionState();
        link.send({
            kind: "digest",
            released: versionState.released,
            version: getReceivedVersion(versionState),
            ...this.members.getDigestFields(),
        });
    }

    private handleDigest(message: MessageOf<"digest">, link: Link): void {
        this.members.compareDigest(message, link);
        this.versions.compareVersion(message.version, message.released, link);
        if (message.version < getReceivedVersion(this.versions.getVersionState())) {
            this.versions.sendHave(link, false);
        }
    }
}

function formatAddress(entry: Candidate): string {
    return `${entry.address}:${entry.peerPort}`;
}
