/** Plays a history on a simulated mesh and tells each request that a replaced version has decided too late. */
import { deriveFreshnessLimits } from "../../../../coordination/distribution/index.js";
import { MemberState } from "../../../../state/members/index.js";
import type { Member } from "../../../../state/members/index.js";
import { createSeededRandom, invariant } from "../../../../state/shared/index.js";
import { RequestKind } from "../../../../state/traffic/index.js";
import type { RoutePolicy, TrafficConfiguration } from "../../../../state/traffic/index.js";
import type { PartLogger } from "../../../logging/index.js";
import { FaultKind, FIRST_CHANGE_MS, TargetKind } from "./History.js";
import type { Fault, History } from "./History.js";
import { SimulatedClock } from "./SimulatedClock.js";
import { HOST, SimulatedDaemon } from "./SimulatedDaemon.js";
import type { Handling, Variant } from "./SimulatedDaemon.js";
import { createSimulatedNetwork } from "./SimulatedNetwork.js";
import type { NetworkNode, NetworkPath } from "./SimulatedNetwork.js";
import { SimulatedProcess } from "./SimulatedProcess.js";
import { SimulatedStore } from "./SimulatedStore.js";

/** Time without impairment after which a VM is in touch again, as the users' rules have it. */
const STABLE_WINDOW_MS = 3_000;
/** Time after the last version's deadline for which requests are sent. */
const TAIL_MS = 1_500;
/** Delay of the store's answers from which it counts as impaired for a VM. */
const SLOW_STORE_MS = 200;
const PATH_CHECK_INTERVAL_MS = 50;
const ACKNOWLEDGEMENT_MS = 5;
const REQUEST_INTERVAL_MS = 160;
const FIRST_REQUEST_MS = 1_500;
const START_SPREAD_MS = 300;
const LISTING_MS = 20;
/** Latencies between daemons of one failure domain, of one region and of two regions. */
const LATENCIES_MS = [0.2, 0.6, 6] as const;
const STOP_MS = 1_200;
const PADDING_CHARACTERS = 12_000;
const MAXIMUM_CLOCK_ORIGIN_MS = 1e7;
const SLOW_COPY_UNIT_MS = 5;
const FULL_LINK_UNIT_MS = 25;
const STORE_SLOW_UNIT_MS = 10;
const MAXIMUM_LOSS_SHARE = 0.4;
const MAXIMUM_SLOWNESS = 30;

export interface Violation {
    readonly handling: Handling;
    /** Version that had to be in force. */
    readonly required: number;
}

export interface Play {
    readonly violations: readonly Violation[];
    readonly handled: number;
    readonly refused: number;
    readonly storeCalls: number;
    /** Longest time, as a share of the deadline, for which a daemon in touch went on with a version after the next one. */
    readonly longestShare: number;
}

interface Impairment {
    readonly from: number;
    readonly to: number;
}

interface Vm {
    readonly index: number;
    readonly id: string;
    readonly domain: string;
    readonly region: string;
    readonly impairments: Impairment[];
    readonly state: {
        cutUntil: number;
        storeCutUntil: number;
        lossShare: number;
        copiesLostUntil: number;
        messageWaitMs: number;
        copyWaitMs: number;
        incomingCopyWaitMs: number;
        storeSilentUntil: number;
        storeRefusedUntil: number;
        storeExtraMs: number;
        watchesHangUntil: number;
    };
    incarnation: number;
    node: NetworkNode | undefined;
    daemon: SimulatedDaemon | undefined;
    record: Member | undefined;
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
    readonly #random: () => number;
    readonly #store: SimulatedStore;
    readonly #vms: Vm[] = [];
    readonly #padding: string;
    /** Versions by the times of their acknowledgements, the first one at -Infinity. */
    readonly #acknowledged: { readonly at: number; readonly version: number; }[] = [{ at: -Infinity, version: 1 }];
    readonly #configurations = new Map<number, TrafficConfiguration>();
    readonly #violations: Violation[] = [];
    /** Times at which no sound daemon reached the store. */
    readonly #storeless: Impairment[] = [];
    #handled = 0;
    #longestShare = 0;
    #refusedBefore = 0;
    #lastSession = 0;

    constructor(history: History, variant: Variant, log: ((line: string) => void) | undefined) {
        this.#history = history;
        this.#variant = variant;
        this.#log = log;
        this.#random = createSeededRandom(history.seed);
        this.#padding = generatePadding(this.#random);
        this.#store = new SimulatedStore(this.#clock, 1, version => `${version}:${this.#padding}`);
    }

    async play(): Promise<Play> {
        const { daemonsPerDomain, domainsPerRegion, faults, regions, versionGapsMs } = this.#history;
        this.#checkStorePaths();
        for (let place = 0; place < daemonsPerDomain; place++) {
            for (let domain = 0; domain < regions * domainsPerRegion; domain++) {
                const vm = this.#addVm(domain);
                this.#clock.schedule(this.#random() * START_SPREAD_MS, () => this.#startDaemon(vm));
            }
        }
        let at = FIRST_CHANGE_MS;
        versionGapsMs.forEach((gapMs, index) => {
            this.#scheduleChange(at, index + 2);
            at += gapMs;
        });
        for (const fault of faults) {
            this.#clock.schedule(fault.atMs, () => this.#beginFault(fault));
        }
        const lastChangeAt = at - (versionGapsMs.at(-1) ?? 0);
        const end = lastChangeAt + this.#history.deadlineMs + TAIL_MS;
        await this.#clock.runUntil(end);
        return {
            handled: this.#handled,
            longestShare: this.#longestShare,
            refused: this.#refusedBefore + this.#vms.reduce((sum, { daemon }) => sum + (daemon?.refused ?? 0), 0),
            storeCalls: this.#store.calls,
            violations: this.#violations,
        };
    }

    #addVm(domain: number): Vm {
        const index = this.#vms.length;
        const region = `region-${domain % this.#history.regions}`;
        const vm: Vm = {
            daemon: undefined,
            domain: `domain-${domain}`,
            id: `d${index}`,
            impairments: [],
            incarnation: 0,
            index,
            node: undefined,
            record: undefined,
            region,
            state: {
                copiesLostUntil: -Infinity,
                copyWaitMs: 0,
                cutUntil: -Infinity,
                incomingCopyWaitMs: 0,
                lossShare: 0,
                messageWaitMs: 0,
                storeCutUntil: -Infinity,
                storeExtraMs: 0,
                storeRefusedUntil: -Infinity,
                storeSilentUntil: -Infinity,
                watchesHangUntil: -Infinity,
            },
        };
        this.#vms.push(vm);
        this.#clock.schedule(FIRST_REQUEST_MS + this.#random() * REQUEST_INTERVAL_MS, () => this.#sendRequests(vm));
        return vm;
    }

    #startDaemon(vm: Vm): void {
        const process = new SimulatedProcess(this.#clock, this.#random() * MAXIMUM_CLOCK_ORIGIN_MS);
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
            server: { address: "127.0.0.1", connections: 0, port: 1, service: "all", slots: 4 },
            state: MemberState.Live,
        };
        vm.node = node;
        vm.record = record;
        const { state } = vm;
        const daemon = new SimulatedDaemon({
            createSessionId: () => `session-${++this.#lastSession}`,
            decode: text => this.#decode(text),
            listRecords: () => this.#vms.flatMap(other => other.record === undefined ? [] : [other.record]),
            losesCopies: () => state.copiesLostUntil > this.#clock.now,
            log: this.#createLogger(vm.id),
            network: createSimulatedNetwork(
                this.#clock,
                random,
                node,
                port => this.#vms[port - 1]?.node,
                (from, to) => this.#readPath(from, to),
            ),
            onHandled: handling => this.#judge({ ...handling, handledAt: this.#clock.now }),
            process,
            random,
            self: record,
            store: this.#store.createPort(process, random, () => ({
                extraMs: state.storeExtraMs,
                refusedUntil: state.storeRefusedUntil,
                silentUntil: Math.max(state.storeSilentUntil, state.storeCutUntil),
                watchesHangUntil: state.watchesHangUntil,
            })),
            variant: this.#variant,
        });
        vm.daemon = daemon;
        process.handle(() => void daemon.start(LISTING_MS));
    }

    #scheduleChange(at: number, version: number): void {
        this.#clock.schedule(at, () => {
            this.#log?.(`${Math.round(at)} version ${version} is written`);
            this.#store.write(version);
            this.#acknowledged.push({ at: at + ACKNOWLEDGEMENT_MS, version });
        });
    }

    /** Excuses all while no sound daemon reaches the store; those that others can't reach are excused by their own trouble. */
    #checkStorePaths(): void {
        const { now } = this.#clock;
        this.#clock.schedule(now + PATH_CHECK_INTERVAL_MS, () => this.#checkStorePaths());
        const hasStore = this.#vms.some(({ daemon, impairments, state }) =>
            daemon !== undefined && !impairments.some(({ from, to }) => from <= now && now <= to)
            && Math.max(state.storeSilentUntil, state.storeRefusedUntil) <= now && state.storeExtraMs < SLOW_STORE_MS
        );
        if (!hasStore) {
            this.#storeless.push({ from: now, to: now });
        }
    }

    #sendRequests(vm: Vm): void {
        const sentAt = this.#clock.now;
        this.#clock.schedule(sentAt + REQUEST_INTERVAL_MS * (0.5 + this.#random()), () => this.#sendRequests(vm));
        const newest = this.#acknowledged.at(-1)?.version ?? 1;
        const isForAdded = this.#random() < 0.3;
        const path = isForAdded ? `/from-${1 + Math.floor(this.#random() * newest)}/` : "/r/";
        const { daemon, node } = vm;
        node?.process.handle(() => void daemon?.handleRequest(path, sentAt));
    }

    #judge(handling: Handling): void {
        this.#handled++;
        const { callerId, handledAt, hasRun, ownerId, path, sentAt, version } = handling;
        const dueBefore = sentAt - this.#history.deadlineMs;
        const required = this.#acknowledged.findLast(({ at }) => at < dueBefore)?.version ?? 1;
        const added = /^\/from-(\d+)\//.exec(path)?.[1];
        // The first version that forbids what was done.
        const replacement = added === undefined ? version + 1 : hasRun ? Infinity : Number(added);
        const isOutdated = replacement <= required;
        const isInTouch = [callerId, ownerId].every(id => {
            const vm = this.#vms.find(other => other.id === id);
            return vm !== undefined && [sentAt, handledAt].every(at => !isImpaired(vm.impairments, at));
        }) && [sentAt, handledAt].every(at => !isImpaired(this.#storeless, at));
        const replacedAt = this.#acknowledged.find(other => other.version === replacement)?.at ?? Infinity;
        if (isInTouch && replacedAt > -Infinity) {
            this.#longestShare = Math.max(this.#longestShare, (sentAt - replacedAt) / this.#history.deadlineMs);
        }
        if (isOutdated && isInTouch) {
            this.#violations.push({ handling, required });
            this.#log?.(`${Math.round(handledAt)} BROKEN ${JSON.stringify(handling)} required ${required}`);
        }
    }

    #beginFault(fault: Fault): void {
        const { forMs, kind, strength } = fault;
        const now = this.#clock.now;
        const until = now + forMs;
        const targets = this.#selectTargets(fault);
        this.#log?.(`${now} ${kind} of ${targets.map(({ id }) => id).join(" ")} for ${forMs}, strength ${strength}`);
        for (const vm of targets) {
            this.#applyFault(vm, kind, until, strength);
        }
        if (kind === FaultKind.Compact) {
            this.#store.compact();
        }
        if (kind === FaultKind.Join) {
            const vm = this.#addVm(fault.first % (this.#history.regions * this.#history.domainsPerRegion));
            vm.impairments.push({ from: -Infinity, to: now });
            this.#startDaemon(vm);
        }
    }

    #applyFault(vm: Vm, kind: FaultKind, until: number, strength: number): void {
        const { node, state } = vm;
        const now = this.#clock.now;
        const excuse = (to = until): void => {
            vm.impairments.push({ from: now, to });
        };
        const atEnd = (action: () => void): void => {
            this.#clock.schedule(until, action);
        };
        switch (kind) {
            case FaultKind.Freeze:
                excuse();
                node?.process.pauseUntil(until);
                return;
            case FaultKind.PowerOff:
                excuse();
                this.#endDaemon(vm, false);
                atEnd(() => this.#restart(vm));
                return;
            case FaultKind.Kill:
                excuse();
                this.#endDaemon(vm, true);
                atEnd(() => this.#restart(vm));
                return;
            case FaultKind.Stop: {
                const { daemon } = vm;
                excuse(until + STOP_MS);
                node?.process.handle(() => daemon?.leave());
                this.#clock.schedule(now + STOP_MS, () => {
                    if (vm.daemon === daemon) {
                        this.#endDaemon(vm, true);
                    }
                });
                this.#clock.schedule(until + STOP_MS, () => this.#restart(vm));
                return;
            }
            case FaultKind.Cut:
                excuse();
                state.cutUntil = Math.max(state.cutUntil, until);
                state.storeCutUntil = Math.max(state.storeCutUntil, until);
                return;
            case FaultKind.CutFromDaemons:
                excuse();
                state.cutUntil = Math.max(state.cutUntil, until);
                return;
            case FaultKind.Loss:
                excuse();
                state.lossShare = strength / 100 * MAXIMUM_LOSS_SHARE;
                atEnd(() => {
                    state.lossShare = 0;
                });
                return;
            case FaultKind.Slow:
                excuse();
                node?.process.setSlowness(1 + strength / 100 * MAXIMUM_SLOWNESS);
                atEnd(() => node?.process.setSlowness(1));
                return;
            case FaultKind.StoreSilent:
                state.storeSilentUntil = Math.max(state.storeSilentUntil, until);
                return;
            case FaultKind.StoreRefused:
                state.storeRefusedUntil = Math.max(state.storeRefusedUntil, until);
                return;
            case FaultKind.StoreSlow:
                state.storeExtraMs = strength * STORE_SLOW_UNIT_MS;
                atEnd(() => {
                    state.storeExtraMs = 0;
                });
                return;
            case FaultKind.WatchesHang:
                state.watchesHangUntil = Math.max(state.watchesHangUntil, until);
                return;
            case FaultKind.SlowCopies:
                state.copyWaitMs = strength * SLOW_COPY_UNIT_MS;
                atEnd(() => {
                    state.copyWaitMs = 0;
                });
                return;
            case FaultKind.LateCopies:
                state.incomingCopyWaitMs = strength * SLOW_COPY_UNIT_MS;
                atEnd(() => {
                    state.incomingCopyWaitMs = 0;
                });
                return;
            case FaultKind.LostCopies:
                state.copiesLostUntil = Math.max(state.copiesLostUntil, until);
                return;
            case FaultKind.FullLink:
                if (!this.#variant.fillsLinks) {
                    excuse();
                }
                state.messageWaitMs = strength * FULL_LINK_UNIT_MS;
                atEnd(() => {
                    state.messageWaitMs = 0;
                });
                return;
            case FaultKind.Compact:
            case FaultKind.Join:
        }
    }

    #endDaemon(vm: Vm, isAnnounced: boolean): void {
        const { daemon, node } = vm;
        if (daemon === undefined) {
            return;
        }
        this.#refusedBefore += daemon.refused;
        node?.process.end();
        if (isAnnounced) {
            [...node?.closers ?? []].forEach(close => close());
        }
        vm.daemon = undefined;
    }

    #restart(vm: Vm): void {
        if (vm.daemon === undefined) {
            vm.impairments.push({ from: this.#clock.now, to: this.#clock.now });
            this.#startDaemon(vm);
        }
    }

    #selectTargets({ count, first, kind, target }: Fault): readonly Vm[] {
        if (kind === FaultKind.Compact || kind === FaultKind.Join) {
            return [];
        }
        const domains = [...new Set(this.#vms.map(({ domain }) => domain))];
        const takeFrom = <T>(items: readonly T[]): readonly T[] =>
            Array.from(
                { length: Math.min(count, items.length) },
                (_, index) => items[(first + index) % items.length] as T,
            );
        switch (target) {
            case TargetKind.All:
                return this.#vms;
            case TargetKind.Domains: {
                const chosen = new Set(takeFrom(domains));
                return this.#vms.filter(({ domain }) => chosen.has(domain));
            }
            case TargetKind.Watchers:
                return this.#vms.filter(({ daemon }) => daemon?.isWatching === true);
            case TargetKind.Daemons:
                return takeFrom(this.#vms);
        }
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

    #decode(text: string): TrafficConfiguration {
        const version = Number.parseInt(text, 10);
        invariant(version > 0, "a version has a number");
        let configuration = this.#configurations.get(version);
        if (configuration === undefined) {
            configuration = createConfiguration(version);
            this.#configurations.set(version, configuration);
        }
        return configuration;
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

function isImpaired(impairments: readonly Impairment[], at: number): boolean {
    return impairments.some(({ from, to }) => from <= at && at <= to + STABLE_WINDOW_MS);
}

/** Each version leads `/r/` to a service of its own, so that a run tells the version; `/from-5/` exists from version 5 on. */
function createConfiguration(version: number): TrafficConfiguration {
    const createRoute = (pathPrefix: string, service: string): RoutePolicy => ({
        kind: RequestKind.Idempotent,
        maximumServers: 3,
        name: pathPrefix,
        pathPrefix,
        priority: 1,
        targetLatencyMs: 500,
        targets: [{ service, weight: 1 }],
        timeoutMs: 2_000,
    });
    const added = Array.from({ length: version }, (_, index) => createRoute(`/from-${index + 1}/`, `s${index + 1}`));
    return {
        limits: { bodyBytes: 1, headerBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
        revision: version,
        routesByHost: new Map([[HOST, [createRoute("/r/", `s${version}`), ...added]]]),
        services: new Map(),
        version,
    };
}

/** Text that compression can't shorten much, so that copies are larger than other messages. */
function generatePadding(random: () => number): string {
    return Array.from({ length: PADDING_CHARACTERS }, () => String.fromCharCode(33 + Math.floor(random() * 90))).join(
        "",
    );
}
