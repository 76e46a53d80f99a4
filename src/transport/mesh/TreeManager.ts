import { computeBackoffDelay, TREE_FANOUT } from "../../coordination/distribution/index.js";
import type { TreePosition } from "../../coordination/distribution/index.js";
import { LinkRole } from "../../protocol/peer/index.js";
import type { AuthenticatedPeer, Candidate, MessageOf } from "../../protocol/peer/index.js";
import type { Bootstrap } from "./Bootstrap.js";
import type { Exclusions } from "./Exclusions.js";
import type { Link } from "./Link.js";
import { CHILD_LIMIT, FOREIGN_CHILD_LIMIT } from "./MeshConstants.js";
import type { MeshComponent, MeshContext, MessageHandlers } from "./MeshContext.js";

/**
 * Time for which another parent must stay preferable before the daemon moves, so that membership churn causes
 * no moves.
 */
const MOVE_DELAY_MS = 300;
const MOVE_JITTER_MS = 700;
/** A new region relay keeps its parent for this long, until the other region relays have connected to it. */
const ROOT_DELAY_MS = 3_000;
const REDIRECT_CANDIDATE_LIMIT = 8;
/** Connection attempts with seeds only, before addresses are read from the store. */
const SEED_ONLY_ATTEMPTS = 4;

interface ParentCandidate extends Candidate {
    /** Absent for a seed. */
    readonly id?: string;
}

/** Maintains this daemon's position in the tree: selects its parent and admits children. */
export class TreeManager implements MeshComponent {
    readonly handlers: MessageHandlers = {
        redirect: (message, link) => this.handleRedirect(message, link),
    };
    private redirectCandidates: ParentCandidate[] = [];
    private attempts = 0;
    private nextAttemptAt = 0;
    private pendingMove: { readonly since: number; readonly delayMs: number; } | undefined;
    private isMaintaining = false;

    constructor(
        private readonly context: MeshContext,
        private readonly exclusions: Exclusions,
        private readonly bootstrap: Pick<Bootstrap, "listEntries" | "listSeeds">,
    ) {}

    tick(): void {
        this.exclusions.expire();
        this.startMaintenance();
    }

    onLinkRemoved(link: Link): void {
        if (link.relation === "parent") {
            this.startMaintenance();
        }
    }

    /**
     * Returns the candidates to which a daemon is redirected, or undefined if it is admitted as a child.
     * The domain relay admits the first level of its tree even when full; its lowest-ranked child then moves.
     */
    selectRedirectCandidates(peer: AuthenticatedPeer): readonly Candidate[] | undefined {
        if (peer.role !== LinkRole.Child) {
            return undefined;
        }
        const { failureDomain } = this.context.options;
        const isOwnDomain = peer.failureDomain === failureDomain;
        const children = this.context.links.listByRelation("child");
        const competing = children.filter(link => (link.peer.failureDomain === failureDomain) === isOwnDomain);
        if (competing.length < (isOwnDomain ? CHILD_LIMIT : FOREIGN_CHILD_LIMIT)) {
            return undefined;
        }
        if (isOwnDomain && this.isFirstLevelChild(peer.id)) {
            this.redirectLowestRanked(competing);
            return undefined;
        }
        return this.listAlternatives(peer, competing);
    }

    /** Redirects every linked daemon before this one stops. */
    redirectPeers(): void {
        for (const link of this.context.links.list()) {
            const candidates = this.listAlternatives(link.peer, []);
            link.send({ candidates, kind: "redirect", stopping: true });
        }
    }

    private startMaintenance(): void {
        if (!this.isMaintaining && !this.context.isStopped()) {
            this.isMaintaining = true;
            void this.maintainParent().finally(() => {
                this.isMaintaining = false;
            });
        }
    }

    private async maintainParent(): Promise<void> {
        const position = this.context.getPosition();
        const parent = this.context.links.getParent();
        if (parent === undefined) {
            await this.findParent(position);
        }
        else if (!this.context.isJoined() || this.isSuitable(parent, position)) {
            this.pendingMove = undefined;
            this.attempts = 0;
        }
        else if (this.isMoveDue(position)) {
            await this.replaceParent(parent, position);
        }
    }

    private async findParent(position: TreePosition): Promise<void> {
        const isRoot = position.isRegionRelay && this.context.links.listTreeLinks().some(link => !link.isClosing);
        if (isRoot || this.context.now() < this.nextAttemptAt) {
            return;
        }
        const candidate = this.redirectCandidates.shift() ?? this.listParents(position)[0]
            ?? await this.selectEntryPoint(position);
        const isFound = candidate !== undefined && await this.connectToParent(candidate);
        if (!isFound) {
            this.attempts++;
            this.nextAttemptAt = this.context.now() + computeBackoffDelay(this.attempts, this.context.options.random);
        }
    }

    private async replaceParent(parent: Link, position: TreePosition): Promise<void> {
        this.pendingMove = undefined;
        if (position.isRegionRelay) {
            if (this.context.links.listTreeLinks().some(link => link !== parent)) {
                this.closeLink(parent);
            }
            return;
        }
        const candidate = this.listParents(position)[0];
        if (candidate !== undefined && candidate.id !== parent.id) {
            await this.connectToParent(candidate);
        }
    }

    private async connectToParent(candidate: ParentCandidate): Promise<boolean> {
        const link = await this.context.dial(candidate, LinkRole.Child);
        if (link === undefined) {
            if (candidate.id !== undefined) {
                this.exclusions.add(candidate.id);
            }
            return false;
        }
        this.context.links.listByRelation("parent").filter(other => other !== link).forEach(other =>
            this.closeLink(other)
        );
        return true;
    }

    /** Announces the end of a link before closing it, so that the peer does not treat it as a failure. */
    private closeLink(link: Link): void {
        link.isClosing = true;
        link.send({ candidates: [], kind: "redirect", stopping: false });
        link.close();
    }

    /** Returns whether the current parent may stay: it has a lower rank and is close enough to the root. */
    private isSuitable(parent: Link, position: TreePosition): boolean {
        if (position.isRegionRelay) {
            return false;
        }
        if (parent.id === position.parents[0]) {
            return true;
        }
        const { failureDomain } = this.context.options;
        if (position.isDomainRelay || position.rank <= TREE_FANOUT || parent.peer.failureDomain !== failureDomain) {
            return false;
        }
        const rank = this.context.table.listRankedIds(failureDomain).indexOf(parent.id);
        return rank >= 0 && rank <= 2 * Math.floor((position.rank - 1) / TREE_FANOUT);
    }

    private isMoveDue(position: TreePosition): boolean {
        const jitterMs = this.context.options.random() * MOVE_JITTER_MS;
        this.pendingMove ??= {
            delayMs: position.isRegionRelay ? ROOT_DELAY_MS : MOVE_DELAY_MS + jitterMs,
            since: this.context.now(),
        };
        return this.context.now() - this.pendingMove.since >= this.pendingMove.delayMs;
    }

    private listParents(position: TreePosition): readonly ParentCandidate[] {
        return position.parents.flatMap(id => {
            const member = this.context.table.get(id);
            return member === undefined ? [] : [toCandidate(member)];
        });
    }

    /** Selects a daemon through which one without links can join: a seed, a bootstrap address or any member. */
    private async selectEntryPoint(position: TreePosition): Promise<ParentCandidate | undefined> {
        const { id, random } = this.context.options;
        const relays = position.otherRegionRelays.flatMap(other => this.context.table.get(other) ?? []);
        const members = [...this.context.table.listAll()].filter(member => member.id !== id);
        const seeds = this.bootstrap.listSeeds();
        const usesSeedsOnly = seeds.length > 0 && this.attempts < SEED_ONLY_ATTEMPTS;
        const entryPoints = usesSeedsOnly ? seeds : await this.bootstrap.listEntries();
        const pool: readonly ParentCandidate[] = entryPoints.length > 0 && this.attempts % 2 === 0
            ? entryPoints
            : [...relays, ...members].map(toCandidate);
        return pool[Math.floor(random() * pool.length)];
    }

    private isFirstLevelChild(id: string): boolean {
        const { failureDomain } = this.context.options;
        const rank = this.context.table.listRankedIds(failureDomain).indexOf(id);
        return this.context.getPosition().isDomainRelay && rank >= 0 && rank <= TREE_FANOUT;
    }

    private redirectLowestRanked(children: readonly Link[]): void {
        const { failureDomain } = this.context.options;
        const ranked = this.context.table.listRankedIds(failureDomain);
        const lowestRanked = children.toSorted((a, b) => ranked.indexOf(b.id) - ranked.indexOf(a.id))[0];
        if (lowestRanked !== undefined) {
            lowestRanked.isClosing = true;
            lowestRanked.send({
                candidates: this.listAlternatives(lowestRanked.peer, children),
                kind: "redirect",
                stopping: false,
            });
        }
    }

    /**
     * Lists redirect candidates for a peer, in rotated order: the given children, then members of the peer's
     * failure domain.
     */
    private listAlternatives(peer: AuthenticatedPeer, children: readonly Link[]): readonly Candidate[] {
        const { table } = this.context;
        const ownDomain = table.listRankedIds(peer.failureDomain).slice(0, REDIRECT_CANDIDATE_LIMIT);
        const ids = [...new Set([...children.map(link => link.id), ...ownDomain])];
        const offset = Math.floor(this.context.options.random() * ids.length);
        return [...ids.slice(offset), ...ids.slice(0, offset)]
            .filter(id => id !== peer.id && id !== this.context.options.id)
            .slice(0, REDIRECT_CANDIDATE_LIMIT)
            .flatMap(id => table.get(id) ?? [])
            .map(({ address, peerPort }) => ({ address, peerPort }));
    }

    private handleRedirect(message: MessageOf<"redirect">, link: Link): void {
        link.isClosing = true;
        if (link.relation !== "parent") {
            return;
        }
        if (message.stopping) {
            this.exclusions.add(link.id);
        }
        this.redirectCandidates = [...message.candidates];
        this.nextAttemptAt = this.context.now();
        this.startMaintenance();
    }
}

function toCandidate(member: ParentCandidate): ParentCandidate {
    return member.id === undefined ? member : { address: member.address, id: member.id, peerPort: member.peerPort };
}
