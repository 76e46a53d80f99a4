/** Backend servers at which requests can be placed, with the statistics of each. */
import type { HedgeCandidate } from "../../coordination/hedging/index.js";
import { Distance, OwnerStatistics } from "../../coordination/placement/index.js";
import type { OwnerLoad } from "../../coordination/placement/index.js";
import type { Member } from "../../state/members/index.js";
import { rankByRendezvousHash } from "../../state/shared/index.js";
import type { AdmissionController, OwnedRequest, RequestHandle } from "../ownership/index.js";
import type { CallerExposure } from "../rollouts/index.js";
import type { SessionManager, SessionRequestEvents } from "../sessions/index.js";
import { MAXIMUM_EJECTED_SHARE } from "./TrafficConstants.js";

/** An owner of a server, this daemon or another one. */
export interface Owner extends HedgeCandidate {
    readonly service: string;
    submit(request: OwnedRequest, events: SessionRequestEvents): RequestHandle;
}

export interface ServerDirectoryOptions {
    readonly self: Member;
    readonly admission: Pick<AdmissionController, "readLoad" | "submit">;
    readonly sessions: SessionManager;
    readonly now: () => number;
    /** Tells which owners a roll-out limits, and counts requests; undefined where there are no roll-outs. */
    readonly rollouts?: Pick<CallerExposure, "isRegular" | "observe"> | undefined;
    /** Called when outlier ejection excludes a server. */
    onEject(id: string, service: string): void;
}

export class ServerDirectory {
    readonly #options: ServerDirectoryOptions;
    readonly #ownersByService = new Map<string, Map<string, Owner>>();
    readonly #statisticsByMember = new Map<string, OwnerStatistics>();
    readonly #serviceByMember = new Map<string, string>();

    constructor(options: ServerDirectoryOptions) {
        this.#options = options;
        const { admission, self } = options;
        this.#addOwner(self, (request, events) => admission.submit(request, events));
    }

    /** Adds or updates the server of another daemon; statistics of a known server are kept. */
    addMember(member: Member): void {
        this.#addOwner(member, (request, events) => {
            const session = this.#options.sessions.getOwnerSession(member.id);
            if (session === undefined) {
                throw new Error(`there is no session with ${member.id}`);
            }
            return session.submit(request, events);
        });
    }

    /** Removes the server of a daemon that is gone. */
    removeMember(member: Member): void {
        this.#ownersByService.get(this.#serviceByMember.get(member.id) ?? "")?.delete(member.id);
        this.#serviceByMember.delete(member.id);
        this.#statisticsByMember.delete(member.id);
    }

    recordLoad(id: string, load: OwnerLoad): void {
        this.#statisticsByMember.get(id)?.recordLoad(load, this.#options.now());
    }

    recordRoundTrip(id: string, ms: number): void {
        this.#statisticsByMember.get(id)?.recordRoundTrip(ms);
    }

    /** Lists the owners of a service that accept requests now, without the excluded ones. */
    *listCandidates(service: string, excluded: ReadonlySet<string>, now: number): Generator<Owner> {
        for (const owner of this.#ownersByService.get(service)?.values() ?? []) {
            if (
                !excluded.has(owner.id) && this.#isAvailable(owner, now) && owner.statistics.ejection.isAvailable(now)
                && this.#isRegular(owner)
            ) {
                yield owner;
            }
        }
    }

    /** Lists the owners of a service that accept requests now, but only those that a roll-out has put on trial. */
    *listOnTrial(service: string, excluded: ReadonlySet<string>, now: number): Generator<Owner> {
        for (const owner of this.#ownersByService.get(service)?.values() ?? []) {
            if (!excluded.has(owner.id) && this.#isAvailable(owner, now) && !this.#isRegular(owner)) {
                yield owner;
            }
        }
    }

    /** Like `listCandidates`, but with ejected servers; used when no other candidate is left. */
    *listIncludingEjected(service: string, excluded: ReadonlySet<string>, now: number): Generator<Owner> {
        for (const owner of this.#ownersByService.get(service)?.values() ?? []) {
            if (!excluded.has(owner.id) && this.#isAvailable(owner, now) && this.#isRegular(owner)) {
                yield owner;
            }
        }
    }

    /**
     * Lists the owner that all daemons with sessions to the same owners select for a request that may crash its server, if it
     * accepts requests now.
     */
    *listDesignatedOwner(
        service: string,
        fingerprint: string,
        excluded: ReadonlySet<string>,
        now: number,
    ): Generator<Owner> {
        const owners = [...this.#ownersByService.get(service)?.values() ?? []].filter(({ id }) =>
            id === this.#options.self.id || this.#options.sessions.getOwnerSession(id) !== undefined
        ).filter(owner => this.#isRegular(owner));
        const [owner] = rankByRendezvousHash(fingerprint, owners);
        if (owner !== undefined && !excluded.has(owner.id) && this.#isAvailable(owner, now)) {
            yield owner;
        }
    }

    /** Counts a failure of a server and ejects it if it is an outlier and not too many others are ejected. */
    recordFailure(owner: Owner): void {
        const now = this.#options.now();
        const all = [...this.#ownersByService.get(owner.service)?.values() ?? []].filter(other =>
            other === owner || this.#isAvailable(other, now)
        );
        const ejected = all.filter(({ statistics }) => statistics.ejection.isEjected(now)).length;
        if (owner.statistics.recordFailure((ejected + 1) / all.length <= MAXIMUM_EJECTED_SHARE, now)) {
            this.#options.onEject(owner.id, owner.service);
        }
    }

    /** Time until the first server of the service is expected to have a free slot. */
    estimateSlotWait(service: string): number | undefined {
        let earliest: number | undefined;
        const now = this.#options.now();
        for (const owner of this.#ownersByService.get(service)?.values() ?? []) {
            const { load } = owner.statistics;
            if (load !== undefined && this.#isAvailable(owner, now)) {
                earliest = Math.min(earliest ?? Infinity, load.waits.inTimeMs);
            }
        }
        return earliest;
    }

    #isRegular(owner: Owner): boolean {
        return this.#options.rollouts?.isRegular(owner) ?? true;
    }

    #isAvailable(owner: Owner, now: number): boolean {
        if (owner.id === this.#options.self.id) {
            return this.#options.admission.readLoad().isOpen;
        }
        return owner.statistics.load?.isOpen === true
            && this.#options.sessions.getOwnerSession(owner.id)?.isUsable(now) === true;
    }

    #addOwner(member: Member, submit: Owner["submit"]): void {
        const service = member.server?.service;
        if (service === undefined) {
            return;
        }
        const previous = this.#serviceByMember.get(member.id);
        if (previous !== undefined && previous !== service) {
            this.#ownersByService.get(previous)?.delete(member.id);
            this.#statisticsByMember.delete(member.id);
        }
        this.#serviceByMember.set(member.id, service);
        const statistics = this.#statisticsByMember.get(member.id)
            ?? new OwnerStatistics(this.#computeDistance(member));
        this.#statisticsByMember.set(member.id, statistics);
        let owners = this.#ownersByService.get(service);
        if (owners === undefined) {
            owners = new Map();
            this.#ownersByService.set(service, owners);
        }
        const { rollouts } = this.#options;
        const submitObserved: Owner["submit"] = rollouts === undefined
            ? submit
            : (request, events) => submit(request, rollouts.observe(service, request, events));
        const { failureDomain, id } = member;
        owners.set(id, { failureDomain, id, service, statistics, submit: submitObserved });
    }

    #computeDistance(member: Member): Distance {
        return computeDistance(this.#options.self, member);
    }
}

export function computeDistance(self: Member, member: Member): Distance {
    if (member.failureDomain === self.failureDomain) {
        return Distance.SameDomain;
    }
    return member.region === self.region ? Distance.SameRegion : Distance.OtherRegion;
}
