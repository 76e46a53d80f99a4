/** Plays a history on a simulated mesh, with requests at each daemon, and judges what becomes of them. */
import { deriveFreshnessLimits, OWN_DECISION_LIMIT_MS } from "../../../../coordination/distribution/index.js";
import { MemberState } from "../../../../state/members/index.js";
import type { Member } from "../../../../state/members/index.js";
import { createSeededRandom, invariant } from "../../../../state/shared/index.js";
import type { Random } from "../../../../state/shared/index.js";
import type { PartLogger } from "../../../logging/index.js";
import { FaultInjector } from "./FaultInjector.js";
import { computeChangeTime } from "./History.js";
import type { History } from "./History.js";
import { RuleJudge } from "./RuleJudge.js";
import type { Violation } from "./RuleJudge.js";
import { hasShortBudget } from "./SimulatedCallers.js";
import { SimulatedClock } from "./SimulatedClock.js";
import { SimulatedDaemon } from "./SimulatedDaemon.js";
import type { Variant } from "./SimulatedDaemon.js";
import { createSimulatedNetwork } from "./SimulatedNetwork.js";
import type { NetworkNode, NetworkPath } from "./SimulatedNetwork.js";
import { EventCost, SimulatedProcess } from "./SimulatedProcess.js";
import { SimulatedStore } from "./SimulatedStore.js";
import {
    countServices,
    formatAddedPath,
    formatDroppedPath,
    formatService,
    MOVING_PATH,
    ONCE_PATH,
    SimulatedVersions,
    SLOW_PATH,
    SPLIT_PATH,
} from "./SimulatedVersions.js";
import { createVm, STABLE_WINDOW_MS } from "./SimulatedVm.js";
import type { SimulatedVm } from "./SimulatedVm.js";

/** Time after the last version's deadline for which requests are sent. */
const TAIL_MS = 1_200;
/** Delay of the store's answers from which it counts as impaired for a VM. */
const SLOW_STORE_MS = 200;
const PATH_CHECK_INTERVAL_MS = 50;
const ACKNOWLEDGEMENT_MS = 5;
/** Mean times between the requests of a VM: shortly after a change, after its deadline, and else. */
const CHANGE_INTERVAL_MS = 12;
const DEADLINE_INTERVAL_MS = 25;
const USUAL_INTERVAL_MS = 150;
/** Times after a change, and after its deadline, in which requests are dense. */
const CHANGE_WINDOW_MS = 200;
const DEADLINE_WINDOW_MS = 700;
const FIRST_REQUEST_MS = 500;
const START_SPREAD_MS = 300;
/** Latencies between daemons of one failure domain, of one region and of two regions. */
const LATENCIES_MS = [0.2, 0.6, 6] as const;
const PADDING_CHARACTERS = 12_000;
const MAXIMUM_CLOCK_ORIGIN_MS = 1e7;
const REFUSAL_STATUS = 503;
/** Shares of the paths among the requests; the rest goes to routes that versions add and drop. */
const PATH_SHARES: readonly (readonly [string, number])[] = [
    [MOVING_PATH, 0.35],
    [SPLIT_PATH, 0.25],
    [ONCE_PATH, 0.15],
    [SLOW_PATH, 0.05],
];
const ADDED_SHARE = 0.12;

export interface Play {
    readonly violations: readonly Violation[];
    /** Requests that ran or were answered with 404, and those that were refused. */
    readonly handled: number;
    readonly refused: number;
    readonly storeCalls: number;
    /** Daemons that watch the store at the end. */
    readonly watching: number;
    /** Longest time, as a share of the deadline, for which a daemon in touch went on with a version after the next one. */
    readonly longestShare: number;
}

/** The repairs that are in force, unless a test leaves one out. */
export function createVariant(deadlineMs: number): Variant {
    return { decidesAlone: false, fillsLinks: false, limits: deriveFreshnessLimits(deadlineMs), runsOutdated: false };
}

/** `log` gets each line of the daemons with the simulated time. */
export async function runHistory(
    history: History,
    variant: Variant = createVariant(history.deadlineMs),
    log?: (line: string) => void,
): Promise<Play> {
    const mesh = new SimulatedMesh(history, variant, log);
    return await mesh.play();
}

class SimulatedMesh {
    readonly #history: History;
    readonly #variant: Variant;
    readonly #log: ((line: string) => void) | undefined;
    readonly #clock = new SimulatedClock();
    readonly #random: Random;
    readonly #store: SimulatedStore;
    readonly #versions: SimulatedVersions;
    readonly #judge: RuleJudge;
    readonly #injector: FaultInjector;
    readonly #services: number;
    readonly #vms: SimulatedVm[] = [];
    /** Makes the text of a version as large as a copy. */
    readonly #padding: string;
    /** Times of the changes, at which requests are dense. */
    readonly #changes: readonly number[];
    readonly #violations: Violation[] = [];
    #newest = 1;
    #refused = 0;
    #lastRequest = 0;
    #lastSession = 0;

    constructor(history: History, variant: Variant, log: ((line: string) => void) | undefined) {
        this.#history = history;
        this.#variant = variant;
        this.#log = log;
        this.#random = createSeededRandom(history.seed);
        this.#padding = generatePadding(this.#random);
        this.#store = new SimulatedStore(this.#clock, 1, version => `${version}:${this.#padding}`);
        this.#changes = history.versionGapsMs.map((_, index) => computeChangeTime(history, index));
        const daemons = history.daemonsPerDomain * history.domainsPerRegion * history.regions;
        this.#services = countServices(daemons);
        this.#versions = new SimulatedVersions(daemons, this.#changes.length + 1);
        this.#judge = new RuleJudge({
            deadlineMs: history.deadlineMs,
            leaseMs: variant.limits.leaseMs,
            onViolation: violation => {
                this.#violations.push(violation);
                this.#log?.(`${Math.round(violation.at)} BROKEN ${violation.rule}: ${violation.detail}`);
            },
            versions: this.#versions,
        });
        this.#injector = new FaultInjector({
            addVm: place => this.#joinVm(place),
            clock: this.#clock,
            compactStore: () => this.#store.compact(),
            restoreStore: lostVersions => this.#store.restore(Math.max(1, this.#store.version - lostVersions)),
            fillsLinks: variant.fillsLinks,
            log,
            startDaemon: vm => this.#startDaemon(vm),
            vms: this.#vms,
        });
    }

    async play(): Promise<Play> {
        const { daemonsPerDomain, deadlineMs, domainsPerRegion, faults, regions } = this.#history;
        this.#clock.schedule(FIRST_REQUEST_MS, () => this.#checkStorePaths());
        for (let place = 0; place < daemonsPerDomain; place++) {
            for (let domain = 0; domain < regions * domainsPerRegion; domain++) {
                const vm = this.#addVm(domain);
                this.#clock.schedule(
                    this.#random() * START_SPREAD_MS,
                    () => this.#startDaemon(vm, this.#history.isFirstStart),
                );
            }
        }
        this.#changes.forEach((at, index) => this.#scheduleChange(at, index + 2));
        for (const fault of faults) {
            this.#clock.schedule(fault.atMs, () => this.#injector.begin(fault));
        }
        const end = Math.max((this.#changes.at(-1) ?? 0) + deadlineMs, this.#computeRecoveryTime()) + TAIL_MS;
        await this.#clock.runUntil(end);
        this.#judge.judgeMembers(this.#vms, end);
        this.#judge.complete(end);
        return {
            handled: this.#judge.handled,
            longestShare: this.#judge.longestShare,
            refused: this.#refused,
            storeCalls: this.#store.calls,
            violations: this.#violations,
            watching: this.#vms.filter(({ daemon }) => daemon?.isWatching === true).length,
        };
    }

    /** Time at which nothing excuses any VM any more, for histories whose rare requests show what comes after troubles. */
    #computeRecoveryTime(): number {
        const { deadlineMs, faults, requestSpacing = 1 } = this.#history;
        return requestSpacing === 1
            ? 0
            : Math.max(0, ...faults.map(({ atMs, forMs }) => atMs + forMs + Math.max(STABLE_WINDOW_MS, deadlineMs)));
    }

    #addVm(domain: number): SimulatedVm {
        const index = this.#vms.length;
        const { regions, weakness, weakShare } = this.#history;
        const vm = createVm({
            domain: `domain-${domain}`,
            index,
            region: `region-${domain % regions}`,
            service: formatService((index + Math.floor(index / this.#services)) % this.#services),
            weakness: this.#random() * 100 < weakShare ? weakness : 1,
        });
        this.#vms.push(vm);
        const requestsAt = Math.max(FIRST_REQUEST_MS, this.#clock.now) + this.#random() * USUAL_INTERVAL_MS;
        this.#clock.schedule(requestsAt, () => this.#sendRequests(vm));
        return vm;
    }

    #joinVm(place: number): void {
        const vm = this.#addVm(place % (this.#history.regions * this.#history.domainsPerRegion));
        vm.impairments.push({ from: -Infinity, to: this.#clock.now });
        this.#startDaemon(vm);
    }

    #startDaemon(vm: SimulatedVm, isFirstStart = false): void {
        const process = new SimulatedProcess(this.#clock, this.#random() * MAXIMUM_CLOCK_ORIGIN_MS, vm.weakness);
        const node: NetworkNode = { accept: undefined, closers: new Set(), process };
        const random = createSeededRandom(Math.floor(this.#random() * 2 ** 32));
        const record: Member = {
            address: "127.0.0.1",
            failureDomain: vm.domain,
            id: vm.id,
            incarnation: ++vm.incarnation,
            peerPort: vm.index + 1,
            region: vm.region,
            relayPort: vm.index + 1,
            revision: 0,
            server: { address: "127.0.0.1", connections: 0, port: 1, service: vm.service, slots: 4 },
            state: MemberState.Live,
        };
        vm.node = node;
        vm.settledAt = Infinity;
        const { state } = vm;
        const daemon = new SimulatedDaemon({
            createSessionId: () => `session-${++this.#lastSession}`,
            decode: text => {
                const version = Number.parseInt(text, 10);
                invariant(version > 0, "a version has a number");
                return this.#versions.read(version);
            },
            deadlineMs: this.#history.deadlineMs,
            isFirstStart,
            log: this.#createLogger(vm.id),
            losesCopies: () => state.copiesLostUntil > this.#clock.now,
            network: createSimulatedNetwork(
                this.#clock,
                random,
                node,
                port => this.#vms[port - 1]?.node,
                (from, to) => this.#readPath(from, to),
            ),
            observer: {
                onAnswered: (requestId, status, version) => {
                    this.#refused += status === REFUSAL_STATUS ? 1 : 0;
                    if (status === REFUSAL_STATUS && version === undefined && vm.daemon?.version !== undefined) {
                        this.#judge.recordUndecided(requestId, this.#clock.now);
                    }
                    this.#judge.recordAnswer(requestId, status, version, this.#clock.now);
                },
                onDecided: (requestId, confirmedAgeMs) =>
                    this.#judge.recordDecision(requestId, confirmedAgeMs, this.#clock.now),
                onRun: (requestId, version) =>
                    this.#judge.recordRun(requestId, vm.service, version, vm, this.#clock.now),
            },
            process,
            random,
            self: record,
            store: this.#store.createPort(process, random, () => ({
                busyShare: state.storeBusyShare,
                extraMs: state.storeExtraMs,
                lostShare: state.storeLostShare,
                refusedUntil: state.storeRefusedUntil,
                silentUntil: Math.max(state.storeSilentUntil, state.storeCutUntil),
                watchesHangUntil: state.watchesHangUntil,
            })),
            variant: this.#variant,
        });
        vm.daemon = daemon;
        process.handle(() => void daemon.start());
    }

    #scheduleChange(at: number, version: number): void {
        this.#clock.schedule(at, () => {
            this.#log?.(`${Math.round(at)} version ${version} is written`);
            this.#newest = version;
            this.#judge.recordVersion(version, at + ACKNOWLEDGEMENT_MS);
            this.#store.write(version);
        });
    }

    /** Excuses the VMs that reach the store neither by themselves nor over a sound VM that does. */
    #checkStorePaths(): void {
        const { now } = this.#clock;
        this.#clock.schedule(now + PATH_CHECK_INTERVAL_MS, () => this.#checkStorePaths());
        const isRestored = this.#store.version < this.#newest;
        const hasStore = ({ state }: SimulatedVm): boolean =>
            !isRestored && Math.max(state.storeSilentUntil, state.storeRefusedUntil, state.storeCutUntil) <= now
            && state.storeExtraMs < SLOW_STORE_MS && state.storeBusyShare === 0 && state.storeLostShare === 0;
        const isCut = ({ state }: SimulatedVm): boolean => state.cutUntil > now;
        // While the store is behind, only daemons that have the newest version can tell it.
        const isSource = this.#vms.some(vm =>
            vm.daemon !== undefined && !isCut(vm)
            && (isRestored ? vm.daemon.version === this.#newest : hasStore(vm))
            && !vm.impairments.some(({ from, to }) => from <= now && now <= to)
        );
        for (const vm of this.#vms) {
            if (!hasStore(vm)) {
                vm.storeLostAt = now;
                // A daemon that the store has kept from registering may know nobody else.
                if (isCut(vm) || !isSource || vm.daemon?.isRegistered === false) {
                    vm.impairments.push({ from: now, to: now });
                }
            }
            if (vm.settledAt === Infinity && vm.daemon?.version !== undefined) {
                vm.settledAt = now + OWN_DECISION_LIMIT_MS;
            }
            vm.hasStore = now - vm.storeLostAt > this.#history.deadlineMs;
        }
        this.#judge.judgeVersions(this.#vms, now);
    }

    #sendRequests(vm: SimulatedVm): void {
        const { now } = this.#clock;
        this.#clock.schedule(
            now + this.#computeRequestInterval(now) * (this.#history.requestSpacing ?? 1) * (0.5 + this.#random()),
            () => this.#sendRequests(vm),
        );
        const { daemon, incarnation, node } = vm;
        const path = this.#selectPath();
        const id = `${vm.id}/${++this.#lastRequest}`;
        if (daemon !== undefined) {
            const isConnected = vm.state.cutUntil + STABLE_WINDOW_MS < now;
            const isUrgent = hasShortBudget(id);
            this.#judge.recordSent({ caller: vm, id, incarnation, isConnected, isUrgent, path, sentAt: now });
            node?.process.handle(() => daemon.handleRequest(id, path), EventCost.Request);
        }
    }

    #computeRequestInterval(now: number): number {
        const isWithin = (startMs: number, windowMs: number): boolean =>
            this.#changes.some(at => at + startMs <= now && now < at + startMs + windowMs);
        if (isWithin(0, CHANGE_WINDOW_MS)) {
            return CHANGE_INTERVAL_MS;
        }
        return isWithin(this.#history.deadlineMs, DEADLINE_WINDOW_MS) ? DEADLINE_INTERVAL_MS : USUAL_INTERVAL_MS;
    }

    #selectPath(): string {
        let share = this.#random();
        for (const [path, pathShare] of PATH_SHARES) {
            share -= pathShare;
            if (share < 0) {
                return path;
            }
        }
        const known = 1 + Math.floor(this.#random() * this.#newest);
        return share < ADDED_SHARE ? formatAddedPath(known) : formatDroppedPath(Math.max(2, known));
    }

    #readPath(from: NetworkNode, to: NetworkNode): NetworkPath {
        const source = this.#vms.find(({ node }) => node === from);
        const destination = this.#vms.find(({ node }) => node === to);
        if (source === undefined || destination === undefined) {
            return { copyWaitMs: 0, cutUntil: -Infinity, latencyMs: 1, lossShare: 0, messageWaitMs: 0 };
        }
        const distance = source.domain === destination.domain ? 0 : source.region === destination.region ? 1 : 2;
        return {
            copyWaitMs: Math.max(source.state.copyWaitMs, destination.state.incomingCopyWaitMs),
            cutUntil: source === destination
                ? -Infinity
                : Math.max(source.state.cutUntil, destination.state.cutUntil),
            latencyMs: LATENCIES_MS[distance],
            lossShare: Math.max(source.state.lossShare, destination.state.lossShare),
            messageWaitMs: source.state.messageWaitMs,
        };
    }

    #createLogger(id: string): PartLogger {
        const add = (sentence: string, fields: Readonly<Record<string, unknown>> = {}): void => {
            this.#log?.(`${Math.round(this.#clock.now)} ${id} ${sentence} ${JSON.stringify(fields)}`);
        };
        const ignore = (): void => undefined;
        const write = this.#log === undefined ? ignore : add;
        return { debug: write, error: write, info: write, isEnabled: () => false, trace: ignore, warn: write };
    }
}

/** Text that compression can't shorten much, so that copies are larger than other messages. */
function generatePadding(random: () => number): string {
    return Array.from({ length: PADDING_CHARACTERS }, () => String.fromCharCode(33 + Math.floor(random() * 90))).join(
        "",
    );
}
