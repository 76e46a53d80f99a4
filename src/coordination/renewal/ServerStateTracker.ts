/**
 * Tracks the state of the daemon's own backend server from its announcements, renewals, request
 * results and probes. The reported load never changes the state, because it may be late or wrong.
 */
import type { ServerRecord } from "../../state/members/index.js";
import { MemberState } from "../../state/members/index.js";
import { MISSED_RENEWALS_LIMIT, PROBE_IDLE_MS, RENEWAL_INTERVAL_MS } from "./RenewalConstants.js";

/** State that a server may announce for itself. */
export type AnnouncedState = typeof MemberState.Starting | typeof MemberState.Live;

/** Load as the server reports it; may be late or wrong. */
export interface ReportedLoad {
    readonly inFlight: number;
    readonly slots: number;
    readonly healthy: boolean;
}

/** Publishes the server's record and state in the mesh. */
export type AnnounceServer = (server: ServerRecord, state: MemberState) => void;

/** What the daemon knows about its server. */
export interface TrackedServer {
    readonly record: ServerRecord;
    readonly announced: AnnouncedState;
    readonly state: MemberState;
    readonly renewedAt: number;
    /** Time of the last request or probe that showed the server's state. */
    readonly seenAt: number;
    readonly load: ReportedLoad | undefined;
}

export class ServerStateTracker {
    #server: TrackedServer | undefined;
    #closed = false;

    constructor(private readonly announceServer: AnnounceServer) {}

    readServer(): TrackedServer | undefined {
        return this.#server;
    }

    /** Handles an announcement; false if the daemon is stopping and accepts no server. */
    announce(record: ServerRecord, announced: AnnouncedState, now: number): boolean {
        if (this.#closed) {
            return false;
        }
        this.#update({ announced, load: undefined, record, renewedAt: now, seenAt: now, state: announced }, true);
        return true;
    }

    /** Handles a renewal; false if no server is announced, so that the server announces itself again. */
    renew(load: ReportedLoad | undefined, now: number): boolean {
        const server = this.#server;
        if (server === undefined || server.state === MemberState.Left) {
            return false;
        }
        const state = server.state === MemberState.Dead ? server.announced : server.state;
        this.#update({ ...server, load: load ?? server.load, renewedAt: now, state });
        return true;
    }

    /** Marks the server as leaving; false if none is announced. */
    markLeaving(): boolean {
        return this.#setState(MemberState.Leaving);
    }

    /** Marks the server as left, after its requests in flight have ended. */
    markLeft(): boolean {
        return this.#setState(MemberState.Left);
    }

    /** Marks the server as leaving and rejects later announcements, for a planned stop of the daemon. */
    close(): void {
        this.#closed = true;
        if (this.#server !== undefined && this.#server.state !== MemberState.Left) {
            this.markLeaving();
        }
    }

    /** Records that a request showed the server's state at `time`; times may arrive out of order. */
    observeAnswer(time: number): void {
        if (this.#server !== undefined && time > this.#server.seenAt) {
            this.#server = { ...this.#server, seenAt: time };
        }
    }

    /** Announces a server that missed its renewals as dead; true if the server should be probed now. */
    tick(now: number): boolean {
        const server = this.#server;
        if (server === undefined || server.state === MemberState.Leaving || server.state === MemberState.Left) {
            return false;
        }
        if (now - server.renewedAt <= MISSED_RENEWALS_LIMIT * RENEWAL_INTERVAL_MS) {
            return false;
        }
        if (server.state !== MemberState.Dead) {
            this.#update({ ...server, state: MemberState.Dead });
        }
        return now - server.seenAt >= PROBE_IDLE_MS;
    }

    /** Records the result of a probe requested by `tick`. A success counts as a renewal. */
    observeProbe(answered: boolean, now: number): void {
        const server = this.#server;
        if (server === undefined || server.state !== MemberState.Dead) {
            return;
        }
        this.#update(
            answered
                ? { ...server, renewedAt: now, seenAt: now, state: server.announced }
                : { ...server, seenAt: now },
        );
    }

    #setState(state: MemberState): boolean {
        if (this.#server === undefined) {
            return false;
        }
        this.#update({ ...this.#server, state });
        return true;
    }

    #update(server: TrackedServer, alwaysAnnounce = false): void {
        const changed = this.#server?.state !== server.state;
        this.#server = server;
        if (changed || alwaysAnnounce) {
            this.announceServer(server.record, server.state);
        }
    }
}
