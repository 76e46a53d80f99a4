/**
 * Tracks the backend server beside a daemon from the server's own reports, and whether the server may get
 * new requests. Reports may be delayed, duplicated or reordered, and a server may restart.
 */

/** Lifecycle phase that a server reports. */
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
    /** Remaining time of the server's cold start. */
    readonly coldLeftMs: number;
    /** Start time of the server in Unix milliseconds; undefined when the report has none. */
    readonly startedAt: number | undefined;
    /** Version of the server's software; undefined when the report names none. */
    readonly softwareVersion?: string | undefined;
    /** Increases with each report since the server's start. */
    readonly sequence: number;
}

/** Identity of a server that other daemons keep, so that its daemon can restore it after a restart. */
export interface ServerIdentity
    extends Pick<ServerReport, "address" | "port" | "serverId" | "service" | "slots" | "startedAt">
{
    /** Requests a second that the server has last said that it takes; undefined when it named no limit. */
    readonly limitPerSecond?: number | undefined;
    /** Version of its software; only of daemons with roll-outs. */
    readonly softwareVersion?: string | undefined;
}

/** Last accepted report of the registered server. */
export interface RegisteredServer extends ServerReport {
    /** Time at which the cold start ends. */
    readonly coldUntil: number;
    /** Time at which the last report was received. */
    readonly reportedAt: number;
}

export const ReportResult = {
    Accepted: "accepted",
    /** Not of the server, so that it must not be acknowledged. */
    Foreign: "foreign",
    Outdated: "outdated",
} as const;
export type ReportResult = (typeof ReportResult)[keyof typeof ReportResult];

/** Number of departed servers whose late reports are still recognized. */
const MAXIMUM_DEPARTURES = 32;
/** Assumed maximum delay of a report; the users state delays of seconds. */
const MAXIMUM_REPORT_DELAY_MS = 6_000;
/** Backoff after the first failure to reach a server; each further failure doubles it up to the maximum. */
const RECONNECT_BASE_MS = 250;
const RECONNECT_MAXIMUM_MS = 2_000;

export class ServerRegistration {
    #server: RegisteredServer | undefined;
    #isConfirmed: boolean;
    /** First ready report since the server's last start. */
    #firstReadyReport: { readonly at: number; readonly sequence: number; } | undefined;
    /** Start times of departed servers by id; undefined for servers that report none. */
    readonly #departed = new Map<string, number | undefined>();
    #unreachableUntil = 0;
    #connectFailures = 0;
    /** Whether a roll-out keeps the server closed. */
    #isHeld = false;

    /**
     * `isConfirmed` is false for a daemon that may have acknowledged the server's departure before its own
     * restart: a late report must not open the server before the server itself confirms that it serves.
     */
    constructor(isConfirmed = true) {
        this.#isConfirmed = isConfirmed;
    }

    get server(): RegisteredServer | undefined {
        return this.#server;
    }

    /** Whether the server may get new requests now. */
    isOpen(now: number): boolean {
        return !this.#isHeld && this.#isConfirmed && this.#server?.phase === ServerPhase.Ready
            && now >= this.#unreachableUntil;
    }

    get isHeld(): boolean {
        return this.#isHeld;
    }

    /** Keeps the server closed, or no longer, whatever it reports. */
    setHeld(isHeld: boolean): void {
        this.#isHeld = isHeld;
    }

    /** Whether the server has reported ready but isn't confirmed yet. */
    needsConfirmation(): boolean {
        return !this.#isConfirmed && this.#server?.phase === ServerPhase.Ready;
    }

    /** Records that the server with this id confirmed that it serves and is not leaving. */
    confirm(serverId: string): void {
        this.#isConfirmed ||= this.#server?.serverId === serverId;
    }

    /** Restores a server that another daemon remembers, unless a report came first; it needs confirmation. */
    restore(
        { address, port, serverId, service, slots, softwareVersion, startedAt }: ServerIdentity,
        now: number,
    ): void {
        if (this.#server === undefined && !this.#isConfirmed && !this.#departed.has(serverId)) {
            this.#server = {
                address,
                coldLeftMs: 0,
                coldUntil: now,
                phase: ServerPhase.Ready,
                port,
                reportedAt: now,
                // Lower than the sequence of any report since this start.
                sequence: 0,
                serverId,
                service,
                slots,
                softwareVersion,
                startedAt,
            };
        }
    }

    /** Applies a report. An outdated one changes nothing, but the caller acknowledges it too. */
    accept(report: ServerReport, now: number): ReportResult {
        if (this.#isForeign(report)) {
            return ReportResult.Foreign;
        }
        if (this.#isOutdated(report, now)) {
            return ReportResult.Outdated;
        }
        const isNewStart = this.#server?.serverId !== report.serverId || this.#server.startedAt !== report.startedAt;
        this.#server = { ...report, coldUntil: now + report.coldLeftMs, reportedAt: now };
        this.#trackReadyReports(report, isNewStart, now);
        if (isNewStart || this.#connectFailures === 0) {
            this.#unreachableUntil = 0;
            this.#connectFailures = 0;
        }
        return ReportResult.Accepted;
    }

    /** Records that the server with this id has departed; later reports of that start are outdated. */
    acceptDeparture(serverId: string, startedAt: number | undefined): void {
        const departing = this.#server?.serverId === serverId ? this.#server : undefined;
        this.#departed.delete(serverId);
        this.#departed.set(serverId, startedAt ?? departing?.startedAt);
        for (const oldest of this.#departed.keys()) {
            if (this.#departed.size <= MAXIMUM_DEPARTURES) {
                break;
            }
            this.#departed.delete(oldest);
        }
        if (departing !== undefined) {
            this.#server = { ...departing, phase: ServerPhase.Gone };
        }
    }

    /**
     * Records that the registered server has said in an answer that it is leaving; late ready reports of this start are
     * outdated from then on. Returns whether that was not known.
     */
    markLeaving(): boolean {
        if (this.#server?.phase !== ServerPhase.Ready) {
            return false;
        }
        this.#server = { ...this.#server, phase: ServerPhase.Leaving };
        return true;
    }

    /** Closes the server for an exponentially growing backoff after a failure to reach it. */
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

    /** Records that another server has replaced the one with this id at its address. */
    markReplaced(serverId: string): void {
        this.acceptDeparture(serverId, undefined);
    }

    /**
     * Confirms a server whose health check is wrong by its ready reports, once they continue for longer than
     * any report can be delayed.
     */
    #trackReadyReports({ phase, sequence }: ServerReport, isNewStart: boolean, now: number): void {
        if (phase !== ServerPhase.Ready) {
            this.#firstReadyReport = undefined;
        }
        else if (isNewStart || this.#firstReadyReport === undefined) {
            this.#firstReadyReport = { at: now, sequence };
        }
        else if (
            now - this.#firstReadyReport.at >= MAXIMUM_REPORT_DELAY_MS && sequence > this.#firstReadyReport.sequence
        ) {
            this.#isConfirmed = true;
        }
    }

    /**
     * Whether the registered start has not reported for longer than a report can be delayed. If an earlier start under its id
     * still does, it is the server, and the later one was made up by another writer.
     */
    #hasFallenSilent(serverId: string, now: number): boolean {
        return this.#server?.serverId === serverId && now - this.#server.reportedAt > MAXIMUM_REPORT_DELAY_MS;
    }

    /** A server names its start in each report or in none. */
    #isForeign(report: ServerReport): boolean {
        return report.startedAt === undefined && this.#server?.startedAt !== undefined;
    }

    #isOutdated(report: ServerReport, now: number): boolean {
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
        if (report.startedAt !== current.startedAt) {
            // A report without a start that came first was written by another one than this server.
            return report.startedAt === undefined
                || report.startedAt < (current.startedAt ?? 0) && !this.#hasFallenSilent(report.serverId, now);
        }
        return report.serverId === current.serverId
            && (report.sequence < current.sequence
                || current.phase === ServerPhase.Leaving && report.phase === ServerPhase.Ready);
    }
}
