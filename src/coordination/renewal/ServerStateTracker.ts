/**
 * Decides the state of the daemon's own backend server from its announcements, renewals, request
 * results and probes. The reported load never removes a server: it may lag or mislead.
 */
import type { ServerRecord } from "../../state/members/index.js";
import { MemberState } from "../../state/members/index.js";
import { MISSED_RENEWALS_LIMIT, PROBE_IDLE_MS, RENEWAL_INTERVAL_MS } from "./RenewalConstants.js";

/** State that a server may announce of itself. */
export type AnnouncedState = typeof MemberState.Starting | typeof MemberState.Live;

/** Load as the server reports it; it may lag or mislead. */
export interface ReportedLoad {
    readonly inFlight: number;
    readonly slots: number;
    readonly healthy: boolean;
}

/** Publishes the server's record and state in the mesh. */
export type AnnounceServer = (server: ServerRecord, state: MemberState) => void;

/** What the daemon holds of its server at one moment. */
export interface TrackedServer {
    readonly record: ServerRecord;
    readonly announced: AnnouncedState;
    readonly state: MemberState;
    readonly renewedAt: number;
    /** Last time a request or a probe showed the server's state. */
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

    /** Takes an announcement; false when the daemon stops and takes no server any more. */
    announce(record: ServerRecord, announced: AnnouncedState, now: number): boolean {
        if (this.#closed) {
            return false;
        }
        this.#update({ announced, load: undefined, record, renewedAt: now, seenAt: now, state: announced }, true);
        return true;
    }

    /** Takes a renewal; false when no server is announced, so that the server announces itself again. */
    renew(load: ReportedLoad | undefined, now: number): boolean {
        const server = this.#server;
        if (server === undefined || server.state === MemberState.Left) {
            return false;
        }
        const state = server.state === MemberState.Dead ? server.announced : server.state;
        this.#update({ ...server, load: load ?? server.load, renewedAt: now, state });
        return true;
    }

    /** Marks the server as leaving; false when none is announced. */
    markLeaving(): boolean {
        return this.#setState(MemberState.Leaving);
    }

    /** Marks the server as left, after its work in progress has ended. */
    markLeft(): boolean {
        return this.#setState(MemberState.Left);
    }

    /** Marks the server as leaving and refuses later announcements, for a planned stop of the daemon. */
    close(): void {
        this.#closed = true;
        if (this.#server !== undefined && this.#server.state !== MemberState.Left) {
            this.markLeaving();
        }
    }

    /** Notes that a request showed the server's state at a time, which may lie before others. */
    observeAnswer(time: number): void {
        if (this.#server !== undefined && time > this.#server.seenAt) {
            this.#server = { ...this.#server, seenAt: time };
        }
    }

    /** Announces a server that missed its renewals as dead; true when the server should be probed now. */
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

    /** Takes the result of a probe that `tick` asked for. A success counts as a renewal. */
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

    #update(server: TrackedServer, always = false): void {
        const changed = this.#server?.state !== server.state;
        this.#server = server;
        if (changed || always) {
            this.announceServer(server.record, server.state);
        }
    }
}
