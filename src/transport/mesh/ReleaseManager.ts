import {
    computeReleasableVersion,
    getReceivedVersion,
    isHeldByDomain,
    UNWITNESSED_RELEASE_TIMEOUT_MS,
} from "../../coordination/distribution/index.js";
import type { MessageOf } from "../../protocol/peer/index.js";
import type { Link } from "./Link.js";
import type { MeshComponent, MeshContext, MessageHandlers } from "./MeshContext.js";
import type { VersionExchange } from "./VersionExchange.js";

/** Reports the version held by the own failure domain, and releases versions held by enough failure domains. */
export class ReleaseManager implements MeshComponent {
    readonly handlers: MessageHandlers = {
        domainHolds: (message, link) => this.handleDomainHolds(message, link),
    };
    /** Highest version that each failure domain has reported to hold. */
    private readonly heldByDomain = new Map<string, number>();
    private reportedVersion = 0;
    /** Time since which the own failure domain has held a version that no second domain can witness. */
    private unwitnessedSince: number | undefined;

    constructor(private readonly context: MeshContext, private readonly versions: VersionExchange) {}

    onLinkAdded(link: Link): void {
        if (link.relation === "parent" || link.relation === "relay") {
            this.heldByDomain.forEach((version, domain) => link.send({ domain, kind: "domainHolds", version }));
        }
    }

    tick(): void {
        this.updateRelease();
        this.releaseUnwitnessed();
    }

    /** Reports and releases what has become possible after a version was received or acknowledged. */
    updateRelease(): void {
        const versionState = this.versions.getVersionState();
        const received = getReceivedVersion(versionState);
        const position = this.context.getPosition();
        if (
            received > this.reportedVersion && position.isDomainRelay
            && isHeldByDomain(received, this.listHeldByWitnesses())
        ) {
            this.reportedVersion = received;
            this.recordHeldVersion(this.context.options.failureDomain, received, undefined);
        }
        if (position.isRegionRelay) {
            const releasable = computeReleasableVersion([...this.heldByDomain.values()], this.countDomains());
            this.versions.release(releasable, true, undefined);
        }
    }

    /**
     * Lists the versions held by children of the own failure domain in rank order, padded with 0 for unconnected
     * members.
     */
    private listHeldByWitnesses(): readonly number[] {
        const { failureDomain, id } = this.context.options;
        const ranked = this.context.table.listRankedIds(failureDomain).filter(member => member !== id);
        const children = this.context.links.listByRelation("child").filter(link =>
            link.peer.failureDomain === failureDomain
        );
        const held = children
            .toSorted((a, b) => ranked.indexOf(a.id) - ranked.indexOf(b.id))
            .map(link => link.heldVersion);
        return [...held, ...ranked.slice(held.length).map(() => 0)];
    }

    private countDomains(): number {
        const { table } = this.context;
        return table.listDomains().filter(domain => table.listRankedIds(domain).length > 0).length;
    }

    private handleDomainHolds(message: MessageOf<"domainHolds">, link: Link): void {
        this.recordHeldVersion(message.domain, message.version, link);
        this.updateRelease();
    }

    private recordHeldVersion(domain: string, version: number, source: Link | undefined): void {
        if (version <= (this.heldByDomain.get(domain) ?? 0)) {
            return;
        }
        this.heldByDomain.set(domain, version);
        this.context.links.listTreeLinks()
            .filter(link => link !== source && (link.relation === "parent" || link.relation === "relay"))
            .forEach(link => link.send({ domain, kind: "domainHolds", version }));
    }

    /** Releases a version held by the own failure domain alone when no other domain is reachable. */
    private releaseUnwitnessed(): void {
        const { failureDomain } = this.context.options;
        const versionState = this.versions.getVersionState();
        const held = this.heldByDomain.get(failureDomain) ?? 0;
        const hasOtherDomain = this.context.links.listTreeLinks().some(link =>
            link.peer.failureDomain !== failureDomain
        );
        if (!this.context.getPosition().isRegionRelay || hasOtherDomain || held <= versionState.released) {
            this.unwitnessedSince = undefined;
            return;
        }
        this.unwitnessedSince ??= this.context.now();
        if (
            this.context.now() - this.unwitnessedSince >= UNWITNESSED_RELEASE_TIMEOUT_MS
            && this.versions.isFromStore(held)
        ) {
            this.context.options.log.warn({ version: held }, "mesh: version released without a second failure domain.");
            this.versions.release(held, false, undefined);
        }
    }
}
