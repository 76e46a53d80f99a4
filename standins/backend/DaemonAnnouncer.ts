import { request } from "undici";
import type { LoadReport } from "./DelayedLoadReport.js";

export const RENEWAL_INTERVAL_MS = 1000;
const REQUEST_TIMEOUT_MS = 2000;
const NOT_FOUND_STATUS = 404;

/** Body of `POST /v1/announce`, by which a server registers. */
export interface Announcement {
    readonly service: string;
    readonly address: string;
    readonly port: number;
    readonly slots: number;
    readonly connections: number;
    readonly state: "starting" | "live";
}

export interface DaemonAnnouncerOptions {
    readonly daemonUrl: string;
    readonly buildAnnouncement: () => Announcement;
    readonly readLoad: () => LoadReport;
}

/** Announces a server to its daemon, renews the announcement, and announces leaving. */
export class DaemonAnnouncer {
    #timer: NodeJS.Timeout | undefined;
    #announcedState: "starting" | "live" | undefined;
    #pendingRenewal: Promise<void> = Promise.resolve();
    #isLeaving = false;

    constructor(private readonly options: DaemonAnnouncerOptions) {}

    /** Announces the server and renews every second; a restarted daemon gets a new announcement. */
    start(): void {
        this.#pendingRenewal = this.#renew();
        this.#timer = setInterval(() => {
            this.#pendingRenewal = this.#renew();
        }, RENEWAL_INTERVAL_MS);
    }

    /** Announces that the server accepts no new requests, and stops renewing. */
    async announceLeaving(): Promise<void> {
        this.#isLeaving = true;
        this.stop();
        await this.#pendingRenewal;
        await this.#post("leaving", { finished: false });
    }

    async announceLeft(): Promise<void> {
        await this.#post("leaving", { finished: true });
    }

    stop(): void {
        clearInterval(this.#timer);
    }

    async #renew(): Promise<void> {
        const announcement = this.options.buildAnnouncement();
        if (this.#announcedState !== announcement.state) {
            await this.#announce(announcement);
            return;
        }
        const status = await this.#post("renew", { load: this.options.readLoad() });
        if (status === NOT_FOUND_STATUS && !this.#isLeaving) {
            await this.#announce(announcement);
        }
    }

    async #announce(announcement: Announcement): Promise<void> {
        const status = await this.#post("announce", announcement);
        this.#announcedState = status === 200 ? announcement.state : undefined;
    }

    /** Returns the status, or undefined if the daemon did not answer; the next renewal retries. */
    async #post(operation: string, body: unknown): Promise<number | undefined> {
        try {
            const response = await request(`${this.options.daemonUrl}/v1/${operation}`, {
                body: JSON.stringify(body),
                headers: { "content-type": "application/json" },
                method: "POST",
                signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
            });
            await response.body.dump();
            return response.statusCode;
        }
        catch {
            return undefined;
        }
    }
}
