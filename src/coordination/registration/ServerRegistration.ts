/**
 * What a daemon knows of the backend server beside it from the server's own reports, and whether the
 * server may get new work. Reports can be late, doubled or crossed, and a server may start again.
 */

/** Phase of a server's life as it reported it. */
export const ServerPhase = { Ready: "ready", Leaving: "leaving", Gone: "gone" } as const;
export type ServerPhase = (typeof ServerPhase)[keyof typeof ServerPhase];

/** One report of a server about itself. */
export interface ServerReport {
    readonly serverId: string;
    readonly service: string;
    readonly address: string;
    readonly port: number;
    readonly slots: number;
    readonly phase: ServerPhase;
    /** How much longer the server is slow after its start. */
    readonly coldLeftMs: number;
    /** Start of the server, Unix milliseconds; undefined when the reporter doesn't tell. */
    readonly startedAt: number | undefined;
    /** Rises with each report of one start. */
    readonly sequence: number;
}

/** What other daemons remember of a server, for its daemon when that starts again. */
export type ServerIdentity = Pick<ServerReport, "address" | "port" | "serverId" | "service" | "slots" | "startedAt">;

/** The server that is registered, and since when it may be slow. */
export interface RegisteredServer extends ServerReport {
    readonly coldUntil: number;
    /** When the last report came. */
    readonly reportedAt: number;
}

export const ReportResult = { Accepted: "accepted", Outdated: "outdated" } as const;
export type ReportResult = (typeof ReportResult)[keyof typeof ReportResult];

/** Left servers whose late reports are still recognized. */
const MAXIMUM_DEPARTURES = 32;
/** Longest delay of a report that is reckoned with; the users' pages speak of seconds. */
const MAXIMUM_REPORT_DELAY_MS = 6_000;
/** First pause before a server that could not be reached is tried again, doubled after each further failure. */
const RECONNECT_BASE_MS = 250;
const RECONNECT_MAXIMUM_MS = 2_000;

export class ServerRegistration {
    #server: RegisteredServer | undefined;
    #isConfirmed: boolean;
    /** First ready report of the present start, while it is not confirmed. */
    #firstReadyReport: { readonly at: number; readonly sequence: number; } | undefined;
    /** Start time of servers that left, by id; undefined values are kept for servers that tell none. */
    readonly #departed = new Map<string, number | undefined>();
    #unreachableUntil = 0;
    #connectFailures = 0;

    /**
     * `isConfirmed` is false for a daemon that may have acknowledged the server's leaving before it
     * restarted: a late report must not open the server until it has said itself that it serves.
     */
    constructor(isConfirmed = true) {
        this.#isConfirmed = isConfirmed;
    }

    get server(): RegisteredServer | undefined {
        return this.#server;
    }

    /** Whether the server may get new work now. */
    isOpen(now: number): boolean {
        return this.#isConfirmed && this.#server?.phase === ServerPhase.Ready && now >= this.#unreachableUntil;
    }

    /** Whether a server would be open if it had confirmed that it serves. */
    needsConfirmation(): boolean {
        return !this.#isConfirmed && this.#server?.phase === ServerPhase.Ready;
    }

    /** The server with this id said itself that it serves and is not leaving. */
    confirm(serverId: string): void {
        this.#isConfirmed ||= this.#server?.serverId === serverId;
    }

    /** Takes in what another daemon remembers of the server, until the first report; it has to be confirmed. */
    restore(identity: ServerIdentity, now: number): void {
        if (this.#server === undefined && !this.#isConfirmed && !this.#departed.has(identity.serverId)) {
            this.#server = {
                ...identity,
                coldLeftMs: 0,
                coldUntil: now,
                phase: ServerPhase.Ready,
                reportedAt: now,
                // Below all reports of this start.
                sequence: 0,
            };
        }
    }

    /** Takes a report in; an outdated one changes nothing and is acknowledged all the same. */
    accept(report: ServerReport, now: number): ReportResult {
        if (this.#isOutdated(report)) {
            return ReportResult.Outdated;
        }
        const isOther = this.#server?.serverId !== report.serverId || this.#server.startedAt !== report.startedAt;
        this.#server = { ...report, coldUntil: now + report.coldLeftMs, reportedAt: now };
        this.#trackReadyReports(report, isOther, now);
        if (isOther || this.#connectFailures === 0) {
            this.#unreachableUntil = 0;
            this.#connectFailures = 0;
        }
        return ReportResult.Accepted;
    }

    /** Records that the server with this id is gone; no later report of that start opens it again. */
    acceptDeparture(serverId: string, startedAt: number | undefined): void {
        const known = this.#server?.serverId === serverId ? this.#server : undefined;
        this.#departed.delete(serverId);
        this.#departed.set(serverId, startedAt ?? known?.startedAt);
        for (const oldest of this.#departed.keys()) {
            if (this.#departed.size <= MAXIMUM_DEPARTURES) {
                break;
            }
            this.#departed.delete(oldest);
        }
        if (known !== undefined) {
            this.#server = { ...known, phase: ServerPhase.Gone };
        }
    }

    /** Closes the server for a pause that grows, after it could not be reached. */
    markUnreachable(now: number): void {
        if (now < this.#unreachableUntil) {
            return;
        }
        this.#unreachableUntil = now + Math.min(RECONNECT_MAXIMUM_MS, RECONNECT_BASE_MS * 2 ** this.#connectFailures);
        this.#connectFailures++;
    }

    markReachable(): void {
        this.#connectFailures = 0;
        this.#unreachableUntil = 0;
    }

    /** Closes the registration of a server that another one replaced at its address. */
    markReplaced(serverId: string): void {
        this.acceptDeparture(serverId, undefined);
    }

    /** A server whose health check lies is confirmed by ready reports that go on after any late one has come. */
    #trackReadyReports({ phase, sequence }: ServerReport, isOther: boolean, now: number): void {
        if (phase !== ServerPhase.Ready) {
            this.#firstReadyReport = undefined;
        }
        else if (isOther || this.#firstReadyReport === undefined) {
            this.#firstReadyReport = { at: now, sequence };
        }
        else if (
            now - this.#firstReadyReport.at >= MAXIMUM_REPORT_DELAY_MS && sequence > this.#firstReadyReport.sequence
        ) {
            this.#isConfirmed = true;
        }
    }

    #isOutdated(report: ServerReport): boolean {
        if (this.#departed.has(report.serverId)) {
            const departedStart = this.#departed.get(report.serverId);
            if (departedStart === undefined || report.startedAt === undefined || report.startedAt <= departedStart) {
                return true;
            }
        }
        const current = this.#server;
        if (current === undefined) {
            return false;
        }
        if (current.startedAt !== undefined && report.startedAt !== undefined) {
            if (report.startedAt !== current.startedAt) {
                return report.startedAt < current.startedAt;
            }
        }
        return report.serverId === current.serverId
            && (report.sequence < current.sequence
                || current.phase === ServerPhase.Leaving && report.phase === ServerPhase.Ready);
    }
}
