import type { Member } from "../../state/members/index.js";
import type { Random } from "../../state/shared/index.js";
import { rankByRendezvousHash } from "../../state/shared/index.js";
import type { MeshView } from "../../state/view/index.js";
import { EJECTION_MAXIMUM_SHARE, LEAVING_AVOIDANCE_MS, RELAY_COST_FACTOR } from "./BalancingConstants.js";
import { buildLocalityGroups, computeGroupShare } from "./LocalityGroups.js";
import type { Locality, LocalityGroups } from "./LocalityGroups.js";
import { ServerStatistics } from "./ServerStatistics.js";
import type { ReportedLoad } from "./ServerStatistics.js";

/** Effect of an attempt's result on the statistics of its server. */
export const AttemptEffect = {
    Success: "success",
    Failure: "failure",
    /** Inconclusive: refused because of load, or cancelled by the caller. */
    None: "none",
} as const;
export type AttemptEffect = (typeof AttemptEffect)[keyof typeof AttemptEffect];

/** Criteria for the selection of a server of a service. */
export interface SelectionQuery {
    readonly service: string;
    readonly slowStartMs: number;
    /** Servers already tried for this request. */
    readonly excluded: ReadonlySet<string>;
    readonly now: number;
}

export interface LoadBalancerOptions {
    readonly locality: Locality;
    readonly readView: () => MeshView;
    readonly random: Random;
    /** Whether a request sent now would reach the server in one hop. */
    readonly isOneHop: (memberId: string) => boolean;
}

interface CachedGroups {
    readonly members: readonly Member[];
    readonly cutOffDomains: ReadonlySet<string>;
    readonly groups: LocalityGroups;
}

/** Number of statistics beyond that of known members from which those of departed members are evicted. */
const MAXIMUM_DEPARTED_STATISTICS = 256;

/** Selects servers for requests and keeps statistics of each server. */
export class LoadBalancer {
    readonly #options: LoadBalancerOptions;
    readonly #statistics = new Map<string, ServerStatistics>();
    readonly #groups = new Map<string, CachedGroups>();

    constructor(options: LoadBalancerOptions) {
        this.#options = options;
    }

    /** Selects a server by locality, then by the power of two choices; undefined when there is none. */
    selectServer(query: SelectionQuery): Member | undefined {
        const groups = this.getLocalityGroups(query.service, query.now);
        const usable = groups.map(group => group.filter(member => this.#isSelectable(member, query)));
        const group = this.#selectGroup(usable, query.now)
            ?? groups.map(each => each.filter(member => !query.excluded.has(member.id))).find(each => each.length > 0);
        return group === undefined ? undefined : this.#selectByTwoChoices(group, query);
    }

    /** Ranks all live servers of a service for a key, so that requests with the same key reach the same owner. */
    rankForKey(service: string, key: string, now: number): readonly Member[] {
        const view = this.#options.readView();
        const live = (view.membersByService.get(service) ?? []).filter(member => member.state === "live");
        const ranked = rankByRendezvousHash(key, live);
        // Ejected and cut-off servers rank last but remain candidates.
        const isAvoided = (member: Member): boolean =>
            view.cutOffDomains.has(member.failureDomain)
            || this.#statistics.get(member.id)?.ejection.isEjected(now) === true;
        return [...ranked.filter(member => !isAvoided(member)), ...ranked.filter(isAvoided)];
    }

    recordStart(memberId: string, now: number): void {
        this.getStatistics(memberId, now).recordStart(now);
    }

    /** Records the end of an attempt; returns whether its result ejected the server. */
    recordEnd(service: string, memberId: string, effect: AttemptEffect, latencyMs: number, now: number): boolean {
        const statistics = this.getStatistics(memberId, now);
        statistics.recordEnd();
        switch (effect) {
            case AttemptEffect.Success:
                statistics.recordLatency(latencyMs);
                statistics.ejection.recordSuccess(now);
                return false;
            case AttemptEffect.Failure:
                return statistics.ejection.recordFailure(this.#mayEject(service, now), now);
            default:
                statistics.ejection.recordInconclusive();
                return false;
        }
    }

    /** Avoids a server that refused a request because it is leaving, until its member record arrives. */
    markLeaving(memberId: string, now: number): void {
        this.getStatistics(memberId, now).avoidedUntil = now + LEAVING_AVOIDANCE_MS;
    }

    recordLoad(memberId: string, load: ReportedLoad, now: number): void {
        this.getStatistics(memberId, now).recordLoad(load, now);
    }

    /** Returns the groups of a service's live servers; rebuilt only when its members or the cut-off domains change. */
    getLocalityGroups(service: string, now: number): LocalityGroups {
        const view = this.#options.readView();
        const members = view.membersByService.get(service) ?? [];
        const cached = this.#groups.get(service);
        if (cached?.members === members && cached.cutOffDomains === view.cutOffDomains) {
            return cached.groups;
        }
        const groups = buildLocalityGroups(this.#options.locality, members, view.cutOffDomains);
        this.#groups.set(service, { members, cutOffDomains: view.cutOffDomains, groups });
        this.#evictDepartedMembers(view);
        for (const member of groups.flat()) {
            this.getStatistics(member.id, now);
        }
        return groups;
    }

    getStatistics(memberId: string, now: number): ServerStatistics {
        let statistics = this.#statistics.get(memberId);
        if (statistics === undefined) {
            statistics = new ServerStatistics(now);
            this.#statistics.set(memberId, statistics);
        }
        return statistics;
    }

    #evictDepartedMembers(view: MeshView): void {
        if (this.#statistics.size <= view.members.size + MAXIMUM_DEPARTED_STATISTICS) {
            return;
        }
        for (const [memberId, statistics] of this.#statistics) {
            if (!view.members.has(memberId) && statistics.inFlight === 0) {
                this.#statistics.delete(memberId);
            }
        }
    }

    #isSelectable(member: Member, query: SelectionQuery): boolean {
        const statistics = this.getStatistics(member.id, query.now);
        return !query.excluded.has(member.id) && statistics.avoidedUntil <= query.now
            && statistics.ejection.isAvailable(query.now);
    }

    /** Selects groups by distance with a probability that decreases with utilization, else the least utilized group. */
    #selectGroup(groups: LocalityGroups, now: number): readonly Member[] | undefined {
        let leastUtilized: readonly Member[] | undefined;
        let lowest = Number.POSITIVE_INFINITY;
        for (const group of groups) {
            if (group.length === 0) {
                continue;
            }
            const utilization = this.#estimateGroupUtilization(group, now);
            const share = computeGroupShare(utilization);
            if (share >= 1 || share > 0 && this.#options.random() < share) {
                return group;
            }
            if (utilization < lowest) {
                lowest = utilization;
                leastUtilized = group;
            }
        }
        return leastUtilized;
    }

    #estimateGroupUtilization(group: readonly Member[], now: number): number {
        let used = 0;
        let slots = 0;
        for (const member of group) {
            const serverSlots = member.server?.slots ?? 1;
            used += serverSlots * this.getStatistics(member.id, now).estimateUtilization(serverSlots, now);
            slots += serverSlots;
        }
        return used / Math.max(1, slots);
    }

    #selectByTwoChoices(group: readonly Member[], query: SelectionQuery): Member | undefined {
        // The first candidate is in one hop if there is one; the second may be any, so that load can spread.
        const oneHop = group.filter(member => this.#options.isOneHop(member.id));
        const first = this.#selectRandomMember(oneHop.length > 0 ? oneHop : group);
        const second = this.#selectRandomMember(group.filter(member => member !== first));
        if (first === undefined || second === undefined) {
            return first ?? second;
        }
        return this.#computeCost(second, query) < this.#computeCost(first, query) ? second : first;
    }

    #selectRandomMember(members: readonly Member[]): Member | undefined {
        return members[Math.floor(this.#options.random() * members.length)];
    }

    /** Relative expected latency in arbitrary units: load times the square root of latency, divided by the weight. */
    #computeCost(member: Member, query: SelectionQuery): number {
        const statistics = this.getStatistics(member.id, query.now);
        const utilization = statistics.estimateUtilization(member.server?.slots ?? 1, query.now);
        const latency = Math.max(1, statistics.latencyMs ?? 1);
        const hops = this.#options.isOneHop(member.id) ? 1 : RELAY_COST_FACTOR;
        return hops * (statistics.inFlight + 1) * (1 + utilization) * Math.sqrt(latency)
            / statistics.computeWeight(query.slowStartMs, query.now);
    }

    #mayEject(service: string, now: number): boolean {
        const members = (this.#options.readView().membersByService.get(service) ?? [])
            .filter(member => member.state === "live");
        const ejected = members.filter(member => this.#statistics.get(member.id)?.ejection.isEjected(now) === true);
        return ejected.length + 1 <= Math.floor(members.length * EJECTION_MAXIMUM_SHARE);
    }
}
