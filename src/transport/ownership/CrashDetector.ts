/**
 * Tells the crash of the own server from single connections that break: connections with requests break at about the
 * same time, and then the server's port refuses a new one.
 */
import { connect } from "node:net";
import type { RegisteredServer } from "../../coordination/registration/index.js";
import type { OwnedRequest } from "./OwnedRequest.js";
import { CRASH_CHECK_DELAY_MS, CRASH_CHECK_TIMEOUT_MS } from "./OwnershipConstants.js";

export interface CrashDetectorOptions {
    readonly now: () => number;
    /** Called with the requests whose connections broke when the server crashed. */
    onCrash(server: RegisteredServer, requests: readonly RunningRequest[], crashedAt: number): void;
}

/** A request that was sent to the server and not answered. */
export interface RunningRequest {
    readonly request: OwnedRequest;
    /** Time since it was sent. */
    readonly ranMs: number;
}

interface BrokenRequest {
    readonly running: RunningRequest;
    /** Called once it is known whether the server has crashed. */
    readonly report: () => void;
}

interface BrokenRequests {
    readonly server: RegisteredServer;
    readonly broken: BrokenRequest[];
    readonly brokenAt: number;
}

const CONNECTION_REFUSED_CODE = "ECONNREFUSED";

export class CrashDetector {
    readonly #options: CrashDetectorOptions;
    #current: BrokenRequests | undefined;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: CrashDetectorOptions) {
        this.#options = options;
    }

    /**
     * Records that the connection of a running request broke, and calls `report` after a crash was told to `onCrash`, so that
     * the request is not placed at another server before it is known as a suspect.
     */
    recordBroken(server: RegisteredServer, running: RunningRequest, report: () => void): void {
        if (this.#current !== undefined) {
            this.#current.broken.push({ report, running });
            return;
        }
        this.#current = { broken: [{ report, running }], brokenAt: this.#options.now(), server };
        this.#timer = setTimeout(() => this.#check(), CRASH_CHECK_DELAY_MS);
    }

    stop(): void {
        clearTimeout(this.#timer);
    }

    #check(): void {
        const current = this.#current;
        this.#current = undefined;
        if (current === undefined) {
            return;
        }
        const { broken, brokenAt, server } = current;
        const socket = connect({ host: server.address, port: server.port });
        socket.setTimeout(CRASH_CHECK_TIMEOUT_MS, () => socket.destroy());
        socket.on("connect", () => socket.destroy());
        socket.on("error", (error: NodeJS.ErrnoException) => {
            if (error.code === CONNECTION_REFUSED_CODE) {
                this.#options.onCrash(server, broken.map(({ running }) => running), brokenAt);
            }
        });
        socket.on("close", () => broken.forEach(({ report }) => report()));
    }
}
