/** Composes the components of a daemon's control plane; see docs/design.md, 2.2 to 2.5. */
import {
    computeTreePosition,
    getReceivedVersion,
    selectIntervals,
    UNJOINED_POSITION,
} from "../../coordination/distribution/index.js";
import type { TreePosition } from "../../coordination/distribution/index.js";
import { createRegionStatus } from "../../coordination/summary/index.js";
import type { MeshSummary } from "../../coordination/summary/index.js";
import type { FrameConnection, PeerMessage } from "../../protocol/peer/index.js";
import { MemberState, MemberTable } from "../../state/members/index.js";
import type { Member, ServerRecord } from "../../state/members/index.js";
import type { MeshView } from "../../state/view/index.js";
import { createWebSocketNetwork } from "../peer/index.js";
import type { PeerListener } from "../peer/index.js";
import { realTimers, scheduleRepeating, sleepFor } from "../timers/index.js";
import { AntiEntropy } from "./AntiEntropy.js";
import { Bootstrap } from "./Bootstrap.js";
import { CutOffTracker } from "./CutOffTracker.js";
import { Exclusions } from "./Exclusions.js";
import { FailureDetector } from "./FailureDetector.js";
import { FloorResolver } from "./FloorResolver.js";
import { createFrameDelivery } from "./FrameDelivery.js";
import { HeadWatcher } from "./HeadWatcher.js";
import { InstrumentedStore } from "./InstrumentedStore.js";
import { JoinState } from "./JoinState.js";
import type { Link } from "./Link.js";
import { LinkConnector } from "./LinkConnector.js";
import { LinkSet } from "./LinkSet.js";
import { MemberExchange } from "./MemberExchange.js";
import { TICK_MS } from "./MeshConstants.js";
import type { MeshComponent, MeshContext } from "./MeshContext.js";
import type { ControlCounters, MeshNode, MeshOptions, MeshStatus } from "./MeshOptions.js";
import { createMonotonicClock } from "./MonotonicClock.js";
import { ReleaseManager } from "./ReleaseManager.js";
import { StatusAggregator } from "./StatusAggregator.js";
import { TrafficCounter } from "./TrafficCounter.js";
import { TreeManager } from "./TreeManager.js";
import { VersionExchange } from "./VersionExchange.js";
import { ViewPublisher } from "./ViewPublisher.js";

/** Maximum wait during a graceful stop for the children to find another parent. */
const HANDOVER_TIMEOUT_MS = 3_000;
const HANDOVER_POLL_MS = 50;

/** Starts the control plane of a daemon. Resolves when it listens; rejects if the port is in use. */
export async function startMeshNode(options: MeshOptions): Promise<MeshNode> {
    const network = options.network ?? createWebSocketNetwork();
    const acceptor = { onConnection: (connection: FrameConnection): void => connection.close() };
    const listener = await network.listen(options.address, options.peerPort, link => acceptor.onConnection(link));
    const node = new RunningNode({ ...options, network }, listener);
    acceptor.onConnection = connection => void node.connector.accept(connection);
    node.start();
    return node;
}

class RunningNode implements MeshNode {
    readonly connector: LinkConnector;
    private readonly context: MeshContext;
    private readonly counter: TrafficCounter;
    private readonly store: InstrumentedStore | undefined;
    private readonly exclusions: Exclusions;
    private readonly members: MemberExchange;
    private readonly versions: VersionExchange;
    private readonly tree: TreeManager;
    private readonly status: StatusAggregator;
    private readonly cutOff: CutOffTracker;
    private readonly headWatcher: HeadWatcher | undefined;
    private readonly release: ReleaseManager;
    private readonly view: ViewPublisher;
    private readonly join: JoinState;
    private readonly components: readonly MeshComponent[];
    private readonly handlers: ReadonlyMap<string, (message: never, link: Link) => void>;
    private isStopped = false;
    private stopTicking: () => void = () => undefined;
    private position: { readonly key: string; readonly value: TreePosition; } | undefined;

    constructor(private readonly options: MeshOptions, private readonly listener: PeerListener) {
        const timers = options.timers ?? realTimers;
        const now = createMonotonicClock(options.now);
        const table = new MemberTable();
        this.counter = new TrafficCounter(options.region);
        this.store = options.store === undefined ? undefined : new InstrumentedStore(options.store, options.log);
        this.exclusions = new Exclusions(now);
        this.connector = this.createConnector(timers, now);
        this.context = {
            dial: (candidate, role) => this.connector.dial(candidate, role),
            getIntervals: () => selectIntervals(this.versions.getVersionState().inForce?.document.mesh.weighing),
            getOwnRecord: () => this.members.getOwnRecord(),
            getPosition: () => this.getPosition(),
            isJoined: () => this.join.isJoined(),
            isStopped: () => this.isStopped,
            links: new LinkSet(),
            now,
            options,
            table,
            timers,
        };
        this.view = new ViewPublisher(table, timers, () => ({
            configuration: this.versions.getVersionState().inForce,
            cutOff: this.cutOff.list().map(entry => entry.domain),
        }));
        this.join = new JoinState(this.context, () => this.store?.isReachable());
        this.versions = new VersionExchange(this.context, { onChanged: () => this.handleVersionChange() });
        this.members = new MemberExchange(this.context, this.createOwnRecord(), () => this.handleMemberChange());
        this.release = new ReleaseManager(this.context, this.versions);
        const bootstrap = new Bootstrap(this.context, this.store);
        this.tree = new TreeManager(this.context, this.exclusions, bootstrap);
        this.cutOff = new CutOffTracker(this.context, () => this.view.markChanged());
        this.status = new StatusAggregator(
            this.context,
            this.store,
            () => this.summarizeOwnState(),
            total => createRegionStatus(total, this.view.read(), this.cutOff.list(), now()),
        );
        this.headWatcher = this.store === undefined
            ? undefined
            : new HeadWatcher(this.context, this.store, this.versions);
        const failureDetector = new FailureDetector(
            this.context,
            this.members,
            this.exclusions,
            () => this.cutOff.list(),
        );
        const antiEntropy = new AntiEntropy(this.context, this.members, this.versions, this.exclusions, {
            listRemoteEntries: () => bootstrap.listRemoteEntries(),
            onUnreachable: id => void failureDetector.checkMember(id),
        });
        const floorResolver = new FloorResolver(this.context, this.store, this.versions);
        this.components = [
            this.join,
            this.members,
            this.versions,
            this.release,
            this.tree,
            antiEntropy,
            failureDetector,
            this.cutOff,
            floorResolver,
            this.status,
            bootstrap,
            ...(this.headWatcher === undefined ? [] : [this.headWatcher]),
        ];
        this.handlers = new Map(
            this.components.flatMap(component => Object.entries(component.handlers)),
        ) as typeof this.handlers;
    }

    get peerPort(): number {
        return this.listener.port;
    }

    get relayPort(): number {
        return this.options.relayPort;
    }

    start(): void {
        const { random } = this.options;
        this.stopTicking = scheduleRepeating(this.context.timers, () => TICK_MS, random() * TICK_MS, () => this.tick());
        void this.headWatcher?.run();
    }

    readView(): MeshView {
        return this.view.read();
    }

    subscribeView(listener: (view: MeshView) => void): () => void {
        return this.view.subscribe(listener);
    }

    announceServer(record: ServerRecord, state: MemberState): void {
        const isWithdrawn = state === MemberState.Left || state === MemberState.Dead;
        this.members.updateOwnRecord(isWithdrawn ? MemberState.Starting : state, isWithdrawn ? undefined : record);
    }

    readCounters(): ControlCounters {
        return this.counter.read(this.store?.getCallCount() ?? 0);
    }

    async readStatus(): Promise<MeshStatus> {
        const mesh = await this.status.readMeshSummary();
        const versionState = this.versions.getVersionState();
        const position = this.getPosition();
        return {
            children: this.context.links.listByRelation("child").length,
            counters: this.readCounters(),
            cutOff: this.cutOff.list(),
            failureDomain: this.options.failureDomain,
            id: this.options.id,
            inForceVersion: versionState.inForce?.version ?? 0,
            isDomainRelay: position.isDomainRelay,
            isRegionRelay: position.isRegionRelay,
            isSettled: versionState.floor !== undefined,
            isStoreReachable: this.store?.isReachable(),
            isWitnessed: versionState.isWitnessed,
            members: this.context.table.size,
            mesh,
            parent: this.context.links.getParent()?.id,
            rank: position.rank,
            receivedVersion: getReceivedVersion(versionState),
            region: this.options.region,
            releasedVersion: versionState.released,
            waiting: versionState.waiting,
        };
    }

    async stop(): Promise<void> {
        if (this.isStopped) {
            return;
        }
        this.members.updateOwnRecord(MemberState.Left, undefined);
        this.members.flush();
        this.tree.redirectPeers();
        const deadline = this.context.now() + HANDOVER_TIMEOUT_MS;
        while (this.context.links.listByRelation("child").length > 0 && this.context.now() < deadline) {
            await sleepFor(this.context.timers, HANDOVER_POLL_MS);
        }
        await this.closeAbruptly();
    }

    async closeAbruptly(): Promise<void> {
        this.isStopped = true;
        this.stopTicking();
        this.headWatcher?.stop();
        this.view.stop();
        this.context.links.list().forEach(link => link.close());
        await this.listener.close();
    }

    private createConnector(timers: MeshContext["timers"], now: () => number): LinkConnector {
        const { failureDomain, id, meshKey, region } = this.options;
        const self = { failureDomain, id, region };
        const session = {
            recordReceived: this.counter.recordReceived.bind(this.counter),
            recordSent: this.counter.recordSent.bind(this.counter),
            deliver: createFrameDelivery(this.options.delayLink, self, timers, now),
            meshKey,
            self,
        };
        const network = this.options.network ?? createWebSocketNetwork();
        return new LinkConnector(network, session, timers, now, this.options.log, {
            onAdded: link => this.handleLinkAdded(link),
            onMessage: (message, link) => this.dispatch(message, link),
            onRemoved: link => this.handleLinkRemoved(link),
            selectRedirectCandidates: peer => this.tree.selectRedirectCandidates(peer),
        });
    }

    private createOwnRecord(): Member {
        const { address, failureDomain, id, now, region, relayPort } = this.options;
        return {
            address,
            failureDomain,
            id,
            incarnation: Math.max(0, Math.floor(now())),
            peerPort: this.listener.port,
            region,
            relayPort,
            revision: 0,
            state: MemberState.Starting,
        };
    }

    private tick(): void {
        this.components.forEach(component => component.tick?.());
    }

    private dispatch(message: PeerMessage, link: Link): void {
        if (!this.isStopped) {
            this.handlers.get(message.kind)?.(message as never, link);
        }
    }

    private handleLinkAdded(link: Link): void {
        const { links } = this.context;
        links.list().filter(other =>
            other.id === link.id && other.relation === link.relation && link.relation !== "query"
        )
            .forEach(superseded => {
                superseded.isClosing = true;
                superseded.close();
            });
        links.add(link);
        this.exclusions.delete(link.id);
        this.options.log.debug({ peer: link.id, relation: link.relation }, "peer: connected.");
        this.components.forEach(component => component.onLinkAdded?.(link));
    }

    private handleLinkRemoved(link: Link): void {
        this.context.links.delete(link);
        if (!this.isStopped) {
            this.options.log.debug({ peer: link.id, relation: link.relation }, "peer: disconnected.");
            this.components.forEach(component => component.onLinkRemoved?.(link));
        }
    }

    private handleVersionChange(): void {
        this.view.markChanged();
        this.release.updateRelease();
    }

    private handleMemberChange(): void {
        this.view.markChanged();
        if (this.versions.getVersionState().waiting.length > 0) {
            this.versions.advance();
        }
    }

    /** The position is cached because many components read it for each message. */
    private getPosition(): TreePosition {
        if (!this.join.isJoined()) {
            return UNJOINED_POSITION;
        }
        const key = `${this.context.table.rankingGeneration}/${this.exclusions.generation}`;
        if (this.position?.key !== key) {
            const value = computeTreePosition(this.context.table, this.options, this.exclusions.list());
            this.position = { key, value };
        }
        return this.position.value;
    }

    private summarizeOwnState(): MeshSummary {
        const versionState = this.versions.getVersionState();
        const counters = this.readCounters();
        return {
            controlBytes: counters.sentBytes,
            controlBytesAcrossRegions: counters.sentBytesAcrossRegions,
            daemons: 1,
            unsettled: versionState.floor === undefined ? 1 : 0,
            versions: [{ daemons: 1, version: versionState.inForce?.version ?? 0 }],
            waiting: versionState.waiting.map(reason => ({ daemons: 1, reason })),
        };
    }
}
