/**
 * Roll-outs of service versions: learns of orders, exchanges records with the other daemons, and carries out the steps
 * that the coordination decides.
 */
import { generateBackoffDelays } from "../../coordination/retries/index.js";
import {
    computeActiveCount,
    DecisionKind,
    DEFAULT_FINISH_MS,
    findRejection,
    isFinal,
    NO_RECORDS,
    OwnerPhase,
    planStep,
    RolloutLedger,
    RolloutStage,
    selectActive,
    SHARE_IN_USE,
    sumRoutes,
} from "../../coordination/rollouts/index.js";
import type { Rollout, RolloutRecords, RouteSums, StatusStep } from "../../coordination/rollouts/index.js";
import type { Member } from "../../state/members/index.js";
import { rankByRendezvousHash } from "../../state/shared/index.js";
import type { RolloutRecord, RolloutStorePort, StoreError } from "../../state/store/index.js";
import type { PartLogger } from "../logging/index.js";
import { scheduleRepeating, sleepFor } from "../timers/index.js";
import type { Timers } from "../timers/index.js";
import { CallerExposure } from "./CallerExposure.js";
import { CandidateGate } from "./CandidateGate.js";
import type { CandidateGateOptions } from "./CandidateGate.js";
import { OrderWatcher } from "./OrderWatcher.js";
import {
    GONE_MS,
    LOAD_INTERVAL_MS,
    MAXIMUM_WATCHED_OWNERS,
    NEW_VERSION_WATCH_MS,
    REPORT_INTERVAL_MS,
    RETRY_BASE_MS,
    RETRY_MAXIMUM_MS,
    SESSION_RETENTION_MS,
    TAKEOVER_MS,
    TICK_MS,
    WATCHER_RANKS,
    WATCHERS,
    WRITER_STEP_MS,
} from "./RolloutConstants.js";
import { RolloutGossip } from "./RolloutGossip.js";
import type { RolloutMessage } from "./RolloutGossip.js";
import { StatusWriter } from "./StatusWriter.js";

export interface RolloutManagerOptions extends Pick<CandidateGateOptions, "admission" | "selfId" | "service"> {
    readonly share: number;
    readonly slack: number;
    readonly store: RolloutStorePort;
    readonly log: PartLogger;
    /** Monotonic clock that also counts time spent suspended. */
    readonly now: () => number;
    readonly random: () => number;
    readonly timers: Timers;
    /** Sends the load to the daemons that use the own server. */
    announceLoad(): void;
    /** Lists the records of all present daemons, with the own one. */
    listMembers(): readonly Member[];
    /** Changes when another daemon is present. */
    readMembersGeneration(): number;
    listNeighbours(): Iterable<string>;
    listConnected(): ReadonlySet<string>;
    send(id: string, message: RolloutMessage): void;
}

export class RolloutManager {
    readonly caller: CallerExposure;
    readonly gate: CandidateGate;
    readonly #options: RolloutManagerOptions;
    readonly #ledger = new RolloutLedger();
    readonly #gossip: RolloutGossip;
    readonly #watcher: OrderWatcher;
    readonly #writer: StatusWriter;
    #stopTicks: () => void = () => undefined;
    #isStopped = false;
    #reportedAt = -Infinity;
    #hasNewEvidence = false;
    /** Whether the other daemons know an older report of this owner with a higher sequence number. */
    #isReportOutdated = false;
    #announcedAt = -Infinity;
    /** Time since which fewer watchers than wanted can be reached; undefined while enough can. */
    #missingSince: number | undefined;
    #writerRank = Infinity;
    #readGeneration = 0;
    #membersGeneration = -1;
    #watcherIds: readonly string[] = [];
    #ownersByService = new Map<string, readonly string[]>();
    /** Stages that were logged last, and the time since which they hold. */
    readonly #stages = new Map<string, { readonly name: string; readonly since: number; }>();
    readonly #witnessed = new Set<string>();
    /** Daemons whose processes have ended and aren't back, with the first and the last time at which that was seen. */
    readonly #ended = new Map<string, { readonly firstAt: number; readonly lastAt: number; }>();

    constructor(options: RolloutManagerOptions) {
        this.#options = options;
        const { admission, log, now, random, selfId, service, share, slack, store, timers } = options;
        this.caller = new CallerExposure({
            countServers: name => this.#listOwners(name).length,
            ledger: this.#ledger,
            random,
            share,
        });
        this.gate = new CandidateGate({
            admission,
            countActive: () =>
                computeActiveCount(
                    share * SHARE_IN_USE,
                    this.#listOwners(service).length - this.#listTargets(service).length,
                ),
            ledger: this.#ledger,
            log,
            now,
            onEvidence: () => {
                this.#hasNewEvidence = true;
                this.#checkEvidence();
            },
            onPhase: () => {
                this.#report(true);
                options.announceLoad();
            },
            onServing: softwareVersion =>
                this.#apply({ ...NO_RECORDS, versions: [{ service, softwareVersion }] }, undefined),
            onVersion: () => void this.#readOrder(++this.#readGeneration),
            selfId,
            service,
            slack,
        });
        this.#gossip = new RolloutGossip(options);
        const onRecords = (records: readonly RolloutRecord[]): void =>
            records.forEach(record => this.#applyStored(record));
        this.#watcher = new OrderWatcher({ log, onRecords, random, store, timers });
        this.#writer = new StatusWriter({ log, now, onRecord: record => this.#applyStored(record), store });
    }

    start(): void {
        this.#stopTicks = scheduleRepeating(this.#options.timers, () => TICK_MS, TICK_MS, () => this.#tick());
    }

    stop(): void {
        this.#isStopped = true;
        this.#stopTicks();
        this.#gossip.stop();
        this.#watcher.update(false);
    }

    /** Sends all records to a daemon that has connected, which may have restarted or been cut off. */
    sendAll(id: string): void {
        this.#ended.delete(id);
        if (!this.#ledger.isEmpty) {
            this.#gossip.send(id, this.#ledger.listRecords());
        }
    }

    /** Records that the process of another daemon has ended, also again while it isn't back. */
    recordEnd(id: string): void {
        const lastAt = this.#options.now();
        this.#ended.set(id, { firstAt: this.#ended.get(id)?.firstAt ?? lastAt, lastAt });
    }

    /** Applies records of another daemon and passes on those that are new. */
    handle(id: string, message: RolloutMessage): void {
        const records = this.#gossip.decode(message);
        const own = records.reports.find(({ ownerId }) => ownerId === this.#options.selfId);
        this.#apply({ ...records, reports: records.reports.filter(report => report !== own) }, id);
        if (own !== undefined && this.gate.restore(own)) {
            this.#isReportOutdated = true;
        }
        this.gate.recordPeer();
    }

    /** Ids of the owners of a service whose servers have the version of a recent order. */
    listTargetIds(service: string): ReadonlySet<string> {
        return new Set(this.#isRecent(service) ? this.#listTargets(service) : []);
    }

    /** Lists the daemons with which sessions are needed besides the usual ones. */
    listWantedIds(services: Iterable<string>): readonly string[] {
        const { selfId, share } = this.#options;
        const active = [...services].flatMap(service => {
            const rollout = this.#ledger.find(service);
            if (rollout?.stage !== RolloutStage.Trial) {
                return [];
            }
            const targets = this.#listTargets(service);
            const count = computeActiveCount(share * SHARE_IN_USE, this.#listOwners(service).length - targets.length);
            return selectActive(rollout.order.targetVersion, targets.map(id => ({ id })), count).map(({ id }) => id);
        });
        const ranked = this.#rankWatchers();
        const rank = ranked.indexOf(selfId);
        return [...active, ...ranked.slice(0, Math.max(0, rank)), ...this.#listAwaited()]
            .filter(id => id !== selfId);
    }

    get isWatching(): boolean {
        return this.#watcher.isWatching;
    }

    /** Running orders, and the requests that this daemon has sent to their services and to candidates. */
    summarize(): { readonly running: number; readonly sent: number; readonly sentToCandidates: number; } {
        const running = [...this.#ledger.list()].filter(({ order }) => !isFinal(order.state));
        const counts = running.map(({ order }) => this.caller.readCounts(order.service));
        return {
            running: running.length,
            sent: counts.reduce((sum, count) => sum + (count?.sent ?? 0), 0),
            sentToCandidates: counts.reduce((sum, count) => sum + (count?.sentToCandidates ?? 0), 0),
        };
    }

    /** Summary of all orders for operators. */
    list(): readonly object[] {
        return [...this.#ledger.list()].map(({ decision, order, reports, stage }) => ({
            candidates: this.#listTargets(order.service),
            decidedBy: decision?.by,
            ownRequests: this.caller.readCounts(order.service)?.sent,
            ownRequestsAtCandidates: this.caller.readCounts(order.service)?.sentToCandidates,
            reason: decision?.reason,
            routes: [...sumRoutes(reports.values()).values()],
            service: order.service,
            share: this.#options.share,
            stage,
            targetVersion: order.targetVersion,
        }));
    }

    #tick(): void {
        const now = this.#options.now();
        this.#updateWatch(now);
        if (!this.#ledger.hasOrders) {
            this.gate.update();
            return;
        }
        this.gate.update();
        this.#checkEvidence();
        this.#report(false);
        for (const rollout of [...this.#ledger.list()]) {
            this.#logStage(rollout, now);
            if (!isFinal(rollout.order.state)) {
                this.#advance(rollout, now);
            }
        }
    }

    /** Takes the next step of an order if it is this daemon's turn. */
    #advance(rollout: Rollout, now: number): void {
        const { order, stage } = rollout;
        const isWitness = stage === RolloutStage.Rejected && this.#witnessed.has(order.service);
        const rank = isWitness ? 0 : this.#writerRank;
        if (!Number.isFinite(rank)) {
            return;
        }
        const ownerIds = this.#listOwners(order.service).filter(id => !this.#isGone(id, now));
        const step = planStep(rollout, { delayMs: rank * WRITER_STEP_MS, now, ownerIds });
        if (step !== undefined) {
            this.#perform(rollout, step);
        }
    }

    #perform({ order }: Rollout, step: StatusStep): void {
        if (step.kind === "write") {
            void this.#writer.write(order, step.state);
            return;
        }
        this.#decide(order.service, step.decision, step.reason);
    }

    #decide(service: string, kind: DecisionKind, reason: string): void {
        const rollout = this.#ledger.find(service);
        if (rollout === undefined) {
            return;
        }
        const { base, targetVersion } = rollout.order;
        this.#options.log.info(`decided on version ${targetVersion} of ${service}: ${kind}, ${reason}.`, {
            kind,
            orderRevision: base,
            reason,
            routes: [...sumRoutes(rollout.reports.values()).values()],
            service,
            targetVersion,
        });
        const at = this.#options.now();
        const decision = { at, by: this.#options.selfId, kind, orderRevision: base, reason, service, targetVersion };
        this.#apply({ ...NO_RECORDS, decisions: [decision] }, undefined);
    }

    /** Rejects the version of the own server if the answers of all candidates, with the newest own ones, are against it. */
    #checkEvidence(): void {
        const { selfId, service } = this.#options;
        const rollout = this.#ledger.find(service);
        const isTested = rollout?.stage === RolloutStage.Trial || rollout?.stage === RolloutStage.Promoting;
        if (rollout === undefined || !isTested || !this.#hasNewEvidence) {
            return;
        }
        this.#hasNewEvidence = false;
        const own = this.gate.buildReport(rollout);
        const rejection = findRejection({ reports: new Map([...rollout.reports, [selfId, own]]) });
        if (rejection !== undefined) {
            this.#witnessed.add(service);
            const { bad, requests, route } = rejection;
            const subject = route === "" ? "all routes" : `route ${route}`;
            this.#report(true);
            this.#decide(service, DecisionKind.Rejected, `${bad} of ${requests} answers of ${subject} are bad`);
        }
    }

    /** Spreads the report of the own server after a change, and its sums each second. */
    #report(isForced: boolean): void {
        const { announceLoad, now, selfId, service } = this.#options;
        const rollout = this.#ledger.find(service);
        if (rollout === undefined || isFinal(rollout.order.state)) {
            return;
        }
        const known = rollout.reports.get(selfId);
        const report = this.gate.buildReport(rollout);
        const isChanged = this.#isReportOutdated || known?.phase !== report.phase
            || known.isDrained !== report.isDrained
            || known.softwareVersion !== report.softwareVersion;
        const isDue = now() - this.#reportedAt >= REPORT_INTERVAL_MS;
        const hasNewSums = known !== undefined && countAnswers(known.sums) !== countAnswers(report.sums);
        if (isForced && isChanged || isChanged || isDue && hasNewSums) {
            this.#reportedAt = now();
            this.#isReportOutdated = false;
            this.#apply({ ...NO_RECORDS, reports: [report] }, undefined);
        }
        if (this.gate.phase === OwnerPhase.Candidate && now() - this.#announcedAt >= LOAD_INTERVAL_MS) {
            // Callers that send nothing here learn of the slack that is left.
            this.#announcedAt = now();
            announceLoad();
        }
    }

    #applyStored({ finishByMs, name, revision, service, status, targetVersion }: RolloutRecord): void {
        this.#writer.recordName(service, name);
        const news = this.#ledger.mergeStored({
            finishByMs: finishByMs > 0 ? finishByMs : DEFAULT_FINISH_MS,
            revision,
            service,
            state: status?.targetVersion === targetVersion ? status.state : undefined,
            targetVersion,
        }, this.#options.now());
        this.#follow(news, undefined);
    }

    #apply(records: RolloutRecords, source: string | undefined): void {
        this.#follow(this.#ledger.merge(records), source);
    }

    /** Passes news on and does what follows from it. */
    #follow(news: RolloutRecords, source: string | undefined): void {
        const { decisions, orders, reports, versions } = news;
        if (decisions.length + orders.length + reports.length + versions.length === 0) {
            return;
        }
        this.#gossip.announce(news, source);
        this.#hasNewEvidence ||= reports.length > 0 && this.gate.phase === OwnerPhase.Candidate;
        for (const { service } of [...orders, ...decisions]) {
            const rollout = this.#ledger.find(service);
            if (rollout !== undefined) {
                this.caller.recordOrder(rollout);
                this.#logStage(rollout, this.#options.now());
            }
        }
        if (orders.length > 0 || decisions.length > 0 || versions.length > 0) {
            this.gate.update();
            this.#report(true);
        }
    }

    #logStage({ decision, order, stage }: Rollout, now: number): void {
        const name = `${stage} ${order.targetVersion}`;
        if (this.#stages.get(order.service)?.name === name) {
            return;
        }
        this.#stages.set(order.service, { name, since: now });
        if (stage === RolloutStage.Trial) {
            this.#witnessed.delete(order.service);
        }
        this.#options.log.info(`the roll-out of ${order.service} to ${order.targetVersion} is at ${stage}.`, {
            ageMs: Math.round(now - order.learnedAt),
            by: decision?.by,
            finishByMs: order.finishByMs,
            orderRevision: order.base,
            reason: decision?.reason,
            service: order.service,
            stage,
            targetVersion: order.targetVersion,
        });
    }

    /** Reads the order of the own service until the store has answered. */
    async #readOrder(generation: number): Promise<void> {
        const { log, random, service, store, timers } = this.#options;
        const delays = generateBackoffDelays(RETRY_BASE_MS, () => RETRY_MAXIMUM_MS, random);
        let hasFailed = false;
        while (!this.#isStopped && generation === this.#readGeneration) {
            const result = await store.readRollout(service);
            if (generation !== this.#readGeneration) {
                return;
            }
            if (result.isRight()) {
                const record = result.extract() as RolloutRecord | undefined;
                if (record !== undefined) {
                    this.#applyStored(record);
                }
                this.gate.recordOrderRead();
                return;
            }
            if (!hasFailed) {
                hasFailed = true;
                log.warn(`the order of ${service} can't be read: ${(result.extract() as StoreError).detail}.`);
            }
            await sleepFor(timers, delays.next().value);
        }
    }

    /** Watches the store if too few of the daemons before this one can be reached, or the own server may become a candidate. */
    #updateWatch(now: number): void {
        const { listConnected, selfId } = this.#options;
        const ranked = this.#rankWatchers();
        const rank = ranked.indexOf(selfId);
        const connected = rank > 0 ? listConnected() : new Set<string>();
        const earlier = ranked.slice(0, Math.max(0, rank)).filter(id => connected.has(id)).length;
        this.#missingSince = rank >= 0 && earlier < WATCHERS ? this.#missingSince ?? now : undefined;
        const isWatcher = this.#missingSince !== undefined
            && (rank < WATCHERS || now - this.#missingSince >= TAKEOVER_MS);
        const isCandidate = this.gate.phase === OwnerPhase.Candidate;
        const isNewVersion = this.gate.softwareVersion !== undefined
            && now - this.gate.versionKnownAt < NEW_VERSION_WATCH_MS
            && this.#ledger.listVersions(this.#options.service).size > 1;
        this.#writerRank = isWatcher ? earlier : isCandidate ? WATCHERS + 1 : Infinity;
        this.#watcher.update(isWatcher || isCandidate || isNewVersion);
    }

    #rankWatchers(): readonly string[] {
        this.#indexMembers();
        return this.#watcherIds;
    }

    #listOwners(service: string): readonly string[] {
        this.#indexMembers();
        return this.#ownersByService.get(service) ?? [];
    }

    /** Ranks and groups the daemons after another one is present. */
    #indexMembers(): void {
        const generation = this.#options.readMembersGeneration();
        if (generation === this.#membersGeneration) {
            return;
        }
        this.#membersGeneration = generation;
        const members = this.#options.listMembers();
        this.#watcherIds = rankByRendezvousHash("rollouts", members).slice(0, WATCHER_RANKS).map(({ id }) => id);
        this.#ownersByService = new Map();
        for (const { id, server } of members) {
            const service = server?.service ?? "";
            this.#ownersByService.set(service, [...this.#ownersByService.get(service) ?? [], id]);
        }
    }

    #listTargets(service: string): readonly string[] {
        const rollout = this.#ledger.find(service);
        return [...rollout?.reports.values() ?? []]
            .filter(({ softwareVersion }) => softwareVersion === rollout?.order.targetVersion)
            .map(({ ownerId }) => ownerId);
    }

    /**
     * Owners of old servers, for the daemons that write first: these see by their sessions whose process has ended, so that
     * a promotion doesn't wait for it. Those that have not reported come first.
     */
    #listAwaited(): readonly string[] {
        if (this.#writerRank >= WATCHERS) {
            return [];
        }
        const awaited = [...this.#ledger.list()].filter(({ order }) => !isFinal(order.state)).flatMap((
            { order, reports },
        ) => this.#listOwners(order.service).filter(id => {
            const report = reports.get(id);
            return report === undefined || report.softwareVersion !== order.targetVersion && !report.isDrained;
        }).sort((left, right) => Number(reports.has(left)) - Number(reports.has(right))));
        return awaited.slice(0, MAXIMUM_WATCHED_OWNERS);
    }

    /** Whether a daemon's process has ended, and has not come back for a while. */
    #isGone(id: string, now: number): boolean {
        const ended = this.#ended.get(id);
        return ended !== undefined && ended.lastAt - ended.firstAt >= GONE_MS && now - ended.lastAt < 2 * GONE_MS;
    }

    /** Whether the order of a service runs, or has ended a short time ago. */
    #isRecent(service: string): boolean {
        const rollout = this.#ledger.find(service);
        const since = this.#stages.get(service)?.since ?? -Infinity;
        return rollout !== undefined
            && (!isFinal(rollout.order.state) || this.#options.now() - since < SESSION_RETENTION_MS);
    }
}

function countAnswers(sums: readonly RouteSums[]): number {
    return sums.reduce((sum, { requests }) => sum + requests, 0);
}
