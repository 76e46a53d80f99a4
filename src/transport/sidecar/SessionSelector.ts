/**
 * Decides which sessions a daemon keeps: with its neighbours, over which records and versions spread, and with a
 * subset of the servers of each service. Sessions that are no longer wanted are closed once they carry no request.
 */
import { selectNeighbours } from "../../coordination/distribution/index.js";
import { Distance, MAXIMUM_EXTRA_SERVERS, selectSubset } from "../../coordination/placement/index.js";
import type { ServersByDistance } from "../../coordination/placement/index.js";
import type { Member, MemberTable } from "../../state/members/index.js";
import { isPresent } from "../../state/members/index.js";
import { rankByRendezvousHash } from "../../state/shared/index.js";
import type { PartLogger } from "../logging/index.js";
import type { RolloutManager } from "../rollouts/index.js";
import type { SessionManager } from "../sessions/index.js";
import { computeDistance } from "../traffic/index.js";

/** Time for which a daemon has to be unreachable before another one takes its place. */
const SUBSTITUTION_DELAY_MS = 800;
/** Time after which a session that is no longer wanted is closed. */
const UNWANTED_RETENTION_MS = 5_000;
/** Sessions that are opened at a time, so that the handshakes of a start are spread. */
const MAXIMUM_OPENED_AT_ONCE = 8;
/** Servers by which the subset of a service grows at a time. */
const WIDENING_STEP = 4;
/** Time after which a widened subset shrinks again. */
const WIDENING_RETENTION_MS = 8_000;
/** Shortest time between two steps, in which the load of the new servers becomes known. */
const WIDENING_INTERVAL_MS = 500;

export interface SessionSelectorOptions {
    readonly table: MemberTable;
    readonly sessions: SessionManager;
    readonly log: PartLogger;
    readonly now: () => number;
    readSelf(): Member;
    /** Names the owners that a roll-out brings into use, which are selected besides the others. */
    readonly rollouts?: Pick<RolloutManager, "listTargetIds" | "listWantedIds"> | undefined;
    /** Services to which callers of this daemon may send requests. */
    listServices(): Iterable<string>;
    /** Lists daemons with which sessions are kept besides, passing over those that are excluded. */
    listExtra?(isExcluded: (id: string) => boolean): Iterable<string>;
}

interface Widening {
    extra: number;
    changedAt: number;
}

export class SessionSelector {
    readonly #options: SessionSelectorOptions;
    readonly #wideningByService = new Map<string, Widening>();
    readonly #unwantedSince = new Map<string, number>();
    #serversByService = new Map<string, ServersByDistance>();
    #rankingGeneration = -1;
    #neighbours: ReadonlySet<string> = new Set();

    constructor(options: SessionSelectorOptions) {
        this.#options = options;
    }

    /** Daemons with which records and versions are exchanged. */
    get neighbours(): ReadonlySet<string> {
        return this.#neighbours;
    }

    /** Adds servers to the subset of a service whose servers can't serve in time. */
    widen(service: string): void {
        const now = this.#options.now();
        const widening = this.#wideningByService.get(service) ?? { changedAt: -Infinity, extra: 0 };
        if (now - widening.changedAt < WIDENING_INTERVAL_MS) {
            return;
        }
        widening.changedAt = now;
        if (widening.extra < MAXIMUM_EXTRA_SERVERS) {
            widening.extra = Math.min(MAXIMUM_EXTRA_SERVERS, widening.extra + WIDENING_STEP);
            this.#options.log.info(`more servers of ${service} are used.`, { extra: widening.extra, service });
        }
        this.#wideningByService.set(service, widening);
    }

    /** Opens the sessions that are missing and closes those that have been unwanted for long. */
    update(now: number): void {
        this.#indexServers();
        const unreachable = this.#listUnreachable(now);
        const wanted = this.#selectWanted(id => unreachable.has(id), now);
        if (unreachable.size > 0) {
            // The usual ones are tried again meanwhile.
            this.#selectWanted(() => false, now).forEach(id => wanted.add(id));
        }
        this.#openMissing(wanted);
        this.#closeUnwanted(wanted, now);
    }

    #selectWanted(isExcluded: (id: string) => boolean, now: number): Set<string> {
        const { listExtra, listServices, readSelf, rollouts, table } = this.#options;
        const self = readSelf();
        this.#neighbours = selectNeighbours(table, self, isExcluded);
        const wanted = new Set([
            ...this.#neighbours,
            ...listExtra?.(isExcluded) ?? [],
            ...rollouts?.listWantedIds(listServices()) ?? [],
        ]);
        const position = this.#computePosition(self);
        for (const service of listServices()) {
            const servers = this.#serversByService.get(service);
            if (servers !== undefined) {
                const extra = this.#readExtra(service, now);
                const targets = rollouts?.listTargetIds(service);
                const select = (isOutside: (id: string) => boolean) =>
                    selectSubset(servers, { extra, isExcluded: id => isExcluded(id) || isOutside(id), position })
                        .forEach(id => wanted.add(id));
                if (targets === undefined || targets.size === 0) {
                    select(() => false);
                }
                else {
                    // When the servers of the old version close all at once, those of the new one are connected.
                    select(id => targets.has(id));
                    select(id => !targets.has(id));
                }
            }
        }
        return wanted;
    }

    #readExtra(service: string, now: number): number {
        const widening = this.#wideningByService.get(service);
        if (widening !== undefined && now - widening.changedAt > WIDENING_RETENTION_MS) {
            this.#wideningByService.delete(service);
            this.#options.log.info(`fewer servers of ${service} are used.`, { extra: 0, service });
            return 0;
        }
        return widening?.extra ?? 0;
    }

    /** Place among the daemons of the failure domain, which select from the same servers. */
    #computePosition(self: Member): number {
        const ranked = this.#options.table.listRankedIds(self.failureDomain);
        return Math.max(0, ranked.indexOf(self.id)) / Math.max(1, ranked.length);
    }

    #listUnreachable(now: number): ReadonlySet<string> {
        const ids = new Set<string>();
        for (const session of this.#options.sessions.listOwnerSessions()) {
            const since = session.readUnreachableSince(now);
            if (since !== undefined && now - since > SUBSTITUTION_DELAY_MS) {
                ids.add(session.member.id);
            }
        }
        return ids;
    }

    #openMissing(wanted: ReadonlySet<string>): void {
        const { sessions, table } = this.#options;
        const missing = [...wanted].filter(id => sessions.getOwnerSession(id) === undefined);
        for (const id of missing.slice(0, MAXIMUM_OPENED_AT_ONCE)) {
            const member = table.get(id);
            if (member !== undefined) {
                sessions.connect(member);
            }
        }
    }

    #closeUnwanted(wanted: ReadonlySet<string>, now: number): void {
        for (const session of [...this.#options.sessions.listOwnerSessions()]) {
            const { id } = session.member;
            if (wanted.has(id)) {
                this.#unwantedSince.delete(id);
                continue;
            }
            const since = this.#unwantedSince.get(id) ?? now;
            this.#unwantedSince.set(id, since);
            if (now - since > UNWANTED_RETENTION_MS && session.pendingRequests === 0) {
                this.#unwantedSince.delete(id);
                this.#options.sessions.disconnect(id, "the session is no longer needed");
            }
        }
    }

    /** Groups the servers of the other daemons after their records have changed. */
    #indexServers(): void {
        const { readSelf, table } = this.#options;
        if (table.rankingGeneration === this.#rankingGeneration) {
            return;
        }
        this.#rankingGeneration = table.rankingGeneration;
        const self = readSelf();
        const members = new Map<string, Member[]>();
        for (const member of table.listAll()) {
            if (member.id !== self.id && member.server !== undefined && isPresent(member)) {
                const list = members.get(member.server.service) ?? [];
                list.push(member);
                members.set(member.server.service, list);
            }
        }
        this.#serversByService = new Map(
            [...members].map(([service, list]) => [service, sortByDistance(self, service, list)]),
        );
    }
}

function sortByDistance(self: Member, service: string, members: readonly Member[]): ServersByDistance {
    const ranked = rankByRendezvousHash(service, members);
    const listAt = (distance: Distance) =>
        ranked.filter(member => computeDistance(self, member) === distance).map(({ id }) => id);
    return {
        [Distance.SameDomain]: listAt(Distance.SameDomain),
        [Distance.SameRegion]: listAt(Distance.SameRegion),
        [Distance.OtherRegion]: listAt(Distance.OtherRegion),
    };
}
