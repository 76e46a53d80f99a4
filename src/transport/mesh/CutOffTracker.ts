import { listCutOffDomains, updateUnreachable } from "../../coordination/membership/index.js";
import type { UnreachableSince } from "../../coordination/membership/index.js";
import { LinkRole } from "../../protocol/peer/index.js";
import type { CutOffDomain } from "../../protocol/peer/index.js";
import { HEARTBEAT_MS } from "./MeshConstants.js";
import type { MeshComponent, MeshContext } from "./MeshContext.js";

const PROBE_INTERVAL_MS = 2_000;
/** Time for which an answered probe shows that a failure domain is reachable. */
const PROBE_VALID_MS = 5_000;
/** Highest-ranked members of a failure domain, one of which is probed at random. */
const MEMBERS_TO_PROBE = 3;

/**
 * Tracks which failure domains are unreachable. The root of a tree determines them; the daemons below
 * adopt the list in their parent's heartbeats.
 */
export class CutOffTracker implements MeshComponent {
    readonly handlers = {};
    private unreachable: UnreachableSince = new Map();
    private cutOff: readonly CutOffDomain[] = [];
    private readonly probedAt = new Map<string, number>();
    private readonly answeredAt = new Map<string, number>();
    private nextObservationAt = 0;

    constructor(private readonly context: MeshContext, private readonly onChanged: () => void) {}

    list(): readonly CutOffDomain[] {
        return this.cutOff;
    }

    tick(): void {
        const now = this.context.now();
        if (now < this.nextObservationAt) {
            return;
        }
        this.nextObservationAt = now + HEARTBEAT_MS;
        const parent = this.context.links.getParent();
        const own = this.context.options.failureDomain;
        this.updateCutOff(
            parent === undefined ? this.findCutOffDomains(now) : parent.cutOff.filter(entry => entry.domain !== own),
        );
    }

    private updateCutOff(cutOff: readonly CutOffDomain[]): void {
        const formatNames = (entries: readonly CutOffDomain[]): string =>
            entries.map(entry => entry.domain).sort().join();
        const isChanged = formatNames(cutOff) !== formatNames(this.cutOff);
        this.cutOff = cutOff;
        if (isChanged) {
            this.context.options.log.warn({ domains: formatNames(cutOff) }, "mesh: failure domains cut off changed.");
            this.onChanged();
        }
    }

    private findCutOffDomains(now: number): readonly CutOffDomain[] {
        const { options, table } = this.context;
        const domains = table.listDomains()
            .filter(domain => domain !== options.failureDomain && table.listRankedIds(domain).length > 0);
        this.unreachable = updateUnreachable(this.unreachable, domains, domain => this.isReachable(domain, now), now);
        [...this.unreachable.keys()].forEach(domain => void this.probe(domain, now));
        const wallClock = Math.floor(options.now());
        return listCutOffDomains(this.unreachable, now).map(({ domain, since }) => ({
            domain,
            since: Math.max(0, wallClock - Math.floor(now - since)),
        }));
    }

    private isReachable(domain: string, now: number): boolean {
        const answeredAt = this.answeredAt.get(domain);
        if (answeredAt !== undefined && now - answeredAt < PROBE_VALID_MS) {
            return true;
        }
        const region = this.context.table.getRegion(domain);
        return this.context.links.listTreeLinks().some(link => {
            const isReported = link.relation === "relay" && link.peer.region === region
                && !link.cutOff.some(entry => entry.domain === domain);
            return isReported || link.peer.failureDomain === domain;
        });
    }

    /**
     * Connects directly, so that a failure domain does not count as cut off merely because the tree is being
     * rebuilt.
     */
    private async probe(domain: string, now: number): Promise<void> {
        if (now - (this.probedAt.get(domain) ?? -PROBE_INTERVAL_MS) < PROBE_INTERVAL_MS) {
            return;
        }
        this.probedAt.set(domain, now);
        const { options, table } = this.context;
        const ranked = table.listRankedIds(domain).slice(0, MEMBERS_TO_PROBE);
        const id = ranked[Math.floor(options.random() * ranked.length)];
        const member = id === undefined ? undefined : table.get(id);
        const link = member === undefined ? undefined : await this.context.dial(member, LinkRole.Query);
        if (link !== undefined) {
            this.answeredAt.set(domain, this.context.now());
            link.close();
        }
    }
}
