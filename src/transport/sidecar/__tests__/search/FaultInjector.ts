/** Applies the faults of a history to the VMs of a simulated mesh, and excuses those that the users' rules excuse. */
import { StoreWatchers } from "../../../../coordination/distribution/index.js";
import { FaultKind, TargetKind } from "./History.js";
import type { Fault } from "./History.js";
import type { SimulatedClock } from "./SimulatedClock.js";
import { isImpaired } from "./SimulatedVm.js";
import type { SimulatedVm } from "./SimulatedVm.js";

/** Time from a planned stop to the end of the process. */
const STOP_MS = 1_200;
const RELEASE_STEP_MS = 200;
const RELEASE_STEP_UNIT_MS = 8;
/** Time from the start of a new VM in a release to the stop of the one that it replaces. */
const REPLACEMENT_MS = 900;
const SLOW_COPY_UNIT_MS = 5;
const FULL_LINK_UNIT_MS = 25;
const CLOCK_STEP_UNIT_MS = 25;
const STORE_SLOW_UNIT_MS = 10;
const MAXIMUM_LOSS_SHARE = 0.4;
const MAXIMUM_STORE_FAILURE_SHARE = 0.5;
const MAXIMUM_SLOWNESS = 30;
const SHORTEST_HOLD_MS = 50;
const HOLD_UNIT_MS = 4;
/** Largest share of the VMs that are excused, or don't reach the store, at a time: else the rules say nothing of the others. */
const MAXIMUM_HIT_SHARE = 0.6;

/** Faults that excuse the VMs that they hit, by the users' rules. */
const EXCUSING_KINDS: ReadonlySet<FaultKind> = new Set([
    FaultKind.ClockStep,
    FaultKind.Cut,
    FaultKind.Freeze,
    FaultKind.FullLink,
    FaultKind.Kill,
    FaultKind.Loss,
    FaultKind.PowerOff,
    FaultKind.Slow,
    FaultKind.Stop,
    FaultKind.Suspend,
]);
const STORE_KINDS: ReadonlySet<FaultKind> = new Set([
    FaultKind.StoreAnswersLost,
    FaultKind.StoreBusy,
    FaultKind.StoreRefused,
    FaultKind.StoreSilent,
    FaultKind.StoreSlow,
]);

export interface FaultInjectorOptions {
    readonly clock: SimulatedClock;
    readonly vms: readonly SimulatedVm[];
    /** Whether links are full for the daemons' own answers, which excuses nothing. */
    readonly fillsLinks: boolean;
    readonly log: ((line: string) => void) | undefined;
    compactStore(): void;
    restoreStore(lostVersions: number): void;
    /** Adds a VM and starts its daemon. */
    addVm(place: number): void;
    startDaemon(vm: SimulatedVm): void;
}

export class FaultInjector {
    readonly #options: FaultInjectorOptions;
    #lastTargets: readonly SimulatedVm[] = [];

    constructor(options: FaultInjectorOptions) {
        this.#options = options;
    }

    begin(fault: Fault): void {
        const { addVm, clock, compactStore, log, restoreStore } = this.#options;
        const { forMs, kind, strength } = fault;
        if (kind === FaultKind.Compact) {
            log?.(`${clock.now} the store forgets its history`);
            compactStore();
            return;
        }
        if (kind === FaultKind.Restore) {
            log?.(`${Math.round(clock.now)} the store comes back from a copy without the last ${fault.count} versions`);
            this.#lastTargets = this.#selectTargets(fault);
            restoreStore(fault.count);
            return;
        }
        if (kind === FaultKind.Join) {
            log?.(`${clock.now} a VM is added`);
            addVm(fault.first);
            return;
        }
        if (kind === FaultKind.Release) {
            this.#release(fault);
            return;
        }
        const selected = this.#selectTargets(fault);
        this.#lastTargets = selected;
        const targets = this.#limitTargets(kind, selected);
        log?.(
            `${Math.round(clock.now)} ${kind} of ${targets.map(({ id }) => id).join(" ")} for ${forMs}, `
                + `strength ${strength}`,
        );
        for (const vm of targets) {
            this.#apply(vm, kind, clock.now + forMs, strength);
        }
    }

    #limitTargets(kind: FaultKind, targets: readonly SimulatedVm[]): readonly SimulatedVm[] {
        const { clock, vms } = this.#options;
        if (!EXCUSING_KINDS.has(kind) && !STORE_KINDS.has(kind)) {
            return targets;
        }
        const hit =
            vms.filter(vm => !targets.includes(vm) && (isImpaired(vm.impairments, clock.now) || this.#lacksStore(vm)))
                .length;
        return targets.slice(0, Math.max(1, Math.floor(vms.length * MAXIMUM_HIT_SHARE) - hit));
    }

    #lacksStore({ state }: SimulatedVm): boolean {
        const { now } = this.#options.clock;
        return state.storeSilentUntil > now || state.storeRefusedUntil > now || state.storeExtraMs > 0
            || state.storeBusyShare > 0 || state.storeLostShare > 0;
    }

    #apply(vm: SimulatedVm, kind: FaultKind, until: number, strength: number): void {
        const { node, state } = vm;
        const { now } = this.#options.clock;
        switch (kind) {
            case FaultKind.Freeze:
                this.#excuse(vm, until);
                vm.slowTimes.push({ from: now, to: until });
                node?.process.pauseUntil(until);
                return;
            case FaultKind.Suspend:
                this.#excuse(vm, until);
                vm.slowTimes.push({ from: now, to: until });
                node?.process.suspendUntil(until);
                return;
            case FaultKind.ClockStep: {
                this.#excuse(vm, until);
                const stepMs = strength * CLOCK_STEP_UNIT_MS;
                node?.process.stepTimeOfDay(stepMs);
                this.#schedule(until, () => node?.process.stepTimeOfDay(-stepMs));
                return;
            }
            case FaultKind.PowerOff:
            case FaultKind.Kill:
                this.#excuse(vm, until);
                this.#endDaemon(vm, kind === FaultKind.Kill);
                this.#schedule(until, () => this.#restart(vm));
                return;
            case FaultKind.Stop:
                this.#excuse(vm, until + STOP_MS);
                this.#stopDaemon(vm, until);
                return;
            case FaultKind.Cut:
                this.#excuse(vm, until);
                state.cutUntil = Math.max(state.cutUntil, until);
                state.storeCutUntil = Math.max(state.storeCutUntil, until);
                return;
            case FaultKind.CutFromDaemons:
                state.cutUntil = Math.max(state.cutUntil, until);
                return;
            case FaultKind.Loss:
                this.#excuse(vm, until);
                state.lossShare = strength / 100 * MAXIMUM_LOSS_SHARE;
                this.#schedule(until, () => {
                    state.lossShare = 0;
                });
                return;
            case FaultKind.Slow:
                this.#excuse(vm, until);
                vm.slowTimes.push({ from: now, to: until });
                node?.process.setSlowness(1 + strength / 100 * MAXIMUM_SLOWNESS);
                this.#schedule(until, () => node?.process.setSlowness(1));
                return;
            case FaultKind.Held:
                // Two of them at once would hold the process all the time, as a freeze does.
                if (vm.heldTimes.every(({ to }) => to < now)) {
                    vm.heldTimes.push({ from: now, to: until });
                    this.#hold(vm, until, SHORTEST_HOLD_MS + strength * HOLD_UNIT_MS);
                }
                return;
            case FaultKind.FullLink:
                if (!this.#options.fillsLinks) {
                    this.#excuse(vm, until);
                    vm.slowTimes.push({ from: now, to: until });
                }
                state.messageWaitMs = strength * FULL_LINK_UNIT_MS;
                this.#schedule(until, () => {
                    state.messageWaitMs = 0;
                });
                return;
            default:
                this.#applyUnexcused(vm, kind, until, strength);
        }
    }

    /** Applies faults of the store and of copies, during which the rules hold all the same. */
    #applyUnexcused({ state }: SimulatedVm, kind: FaultKind, until: number, strength: number): void {
        switch (kind) {
            case FaultKind.StoreSilent:
                state.storeSilentUntil = Math.max(state.storeSilentUntil, until);
                return;
            case FaultKind.StoreRefused:
                state.storeRefusedUntil = Math.max(state.storeRefusedUntil, until);
                return;
            case FaultKind.StoreSlow:
                state.storeExtraMs = strength * STORE_SLOW_UNIT_MS;
                this.#schedule(until, () => {
                    state.storeExtraMs = 0;
                });
                return;
            case FaultKind.StoreBusy:
                state.storeBusyShare = strength / 100 * MAXIMUM_STORE_FAILURE_SHARE;
                this.#schedule(until, () => {
                    state.storeBusyShare = 0;
                });
                return;
            case FaultKind.StoreAnswersLost:
                state.storeLostShare = strength / 100 * MAXIMUM_STORE_FAILURE_SHARE;
                this.#schedule(until, () => {
                    state.storeLostShare = 0;
                });
                return;
            case FaultKind.WatchesHang:
                state.watchesHangUntil = Math.max(state.watchesHangUntil, until);
                return;
            case FaultKind.SlowCopies:
                state.copyWaitMs = strength * SLOW_COPY_UNIT_MS;
                this.#schedule(until, () => {
                    state.copyWaitMs = 0;
                });
                return;
            case FaultKind.LateCopies:
                state.incomingCopyWaitMs = strength * SLOW_COPY_UNIT_MS;
                this.#schedule(until, () => {
                    state.incomingCopyWaitMs = 0;
                });
                return;
            case FaultKind.LostCopies:
                state.copiesLostUntil = Math.max(state.copiesLostUntil, until);
        }
    }

    #excuse(vm: SimulatedVm, until: number): void {
        vm.impairments.push({ from: this.#options.clock.now, to: until });
    }

    #schedule(at: number, action: () => void): void {
        this.#options.clock.schedule(at, action);
    }

    /** Holds the process of a VM again and again, and leaves it as much time in between. */
    #hold(vm: SimulatedVm, until: number, ms: number): void {
        const { now } = this.#options.clock;
        if (now < until) {
            vm.node?.process.hold(ms);
            this.#schedule(now + 2 * ms, () => this.#hold(vm, until, ms));
        }
    }

    /** Replaces VMs one after the other. */
    #release({ count, first, strength }: Fault): void {
        const { addVm, clock, log, vms } = this.#options;
        const stepMs = RELEASE_STEP_MS + strength * RELEASE_STEP_UNIT_MS;
        const replaced = Array.from({ length: count }, (_, index) => vms[(first + index) % vms.length] as SimulatedVm);
        log?.(`${Math.round(clock.now)} release of ${replaced.map(({ id }) => id).join(" ")} every ${stepMs}`);
        for (const [index, vm] of [...new Set(replaced)].entries()) {
            const at = clock.now + index * stepMs;
            this.#schedule(at, () => addVm(first + index));
            this.#schedule(at + REPLACEMENT_MS, () => {
                this.#excuse(vm, Infinity);
                this.#stopDaemon(vm, Infinity);
            });
        }
    }

    #stopDaemon(vm: SimulatedVm, until: number): void {
        const { daemon, node } = vm;
        node?.process.handle(() => daemon?.leave());
        this.#schedule(this.#options.clock.now + STOP_MS, () => {
            if (vm.daemon === daemon) {
                this.#endDaemon(vm, true);
            }
        });
        this.#schedule(until + STOP_MS, () => this.#restart(vm));
    }

    /** Ends a process; `isAnnounced` tells whether its system closes its connections. */
    #endDaemon(vm: SimulatedVm, isAnnounced: boolean): void {
        const { daemon, node } = vm;
        if (daemon === undefined) {
            return;
        }
        node?.process.end();
        if (isAnnounced) {
            [...node?.closers ?? []].forEach(close => close());
        }
        vm.daemon = undefined;
    }

    #restart(vm: SimulatedVm): void {
        if (vm.daemon === undefined) {
            const { now } = this.#options.clock;
            vm.impairments.push({ from: now, to: now });
            this.#options.startDaemon(vm);
        }
    }

    #selectTargets({ count, first, target }: Fault): readonly SimulatedVm[] {
        const { vms } = this.#options;
        const domains = [...new Set(vms.map(({ domain }) => domain))];
        const takeFrom = <T>(items: readonly T[]): readonly T[] =>
            Array.from(
                { length: Math.min(count, items.length) },
                (_, index) => items[(first + index) % items.length] as T,
            );
        const newest = Math.max(...vms.map(({ daemon }) => daemon?.version ?? 0));
        switch (target) {
            case TargetKind.All:
                return vms;
            case TargetKind.Domains: {
                const chosen = new Set(takeFrom(domains));
                return vms.filter(({ domain }) => chosen.has(domain));
            }
            case TargetKind.Watchers:
                return vms.filter(({ daemon }) => daemon?.isWatching === true);
            case TargetKind.Line:
                return [...new Set(vms.map(({ region }) => region))].flatMap(region =>
                    listLine(vms.filter(vm => vm.region === region)).slice(0, count)
                );
            case TargetKind.Sources:
                return takeFrom(vms.filter(({ daemon }) => daemon?.version === newest));
            case TargetKind.Behind:
                return takeFrom(vms.filter(({ daemon }) => daemon !== undefined && daemon.version !== newest));
            case TargetKind.Daemons:
                return takeFrom(vms);
            case TargetKind.Same:
                return this.#lastTargets;
        }
    }
}

/** Sorts the VMs of a region by the order in which their daemons watch the store and take over. */
function listLine(vms: readonly SimulatedVm[]): readonly SimulatedVm[] {
    const members = vms.map(({ domain, id }) => ({ failureDomain: domain, id }));
    const places = new Map(vms.map(vm => {
        const watchers = new StoreWatchers(vm.id, members.length);
        watchers.setRegion(members);
        return [vm, vm.daemon?.isWatching === true ? -1 : watchers.computeLossDelay(0)];
    }));
    return vms.toSorted((left, right) => (places.get(left) ?? 0) - (places.get(right) ?? 0));
}
