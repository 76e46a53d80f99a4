/**
 * Stand-in for a backend server of the platform: plain HTTP, slots and connections, cold start,
 * shedding, deadlines, cancellation, draining, and switchable faults.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { createSeededRandom } from "../../src/state/shared/index.js";
import { buildAnswer, CONTENT_HASH_HEADER, hashContent, REQUEST_TAG_HEADER } from "./BackendAnswer.js";
import type { BackendFaults, BackendServerOptions, RequestExecution } from "./BackendServerOptions.js";
import { NO_FAULTS } from "./BackendServerOptions.js";
import type { BackendStatistics } from "./BackendStatistics.js";
import { BackendStatisticsCounter } from "./BackendStatistics.js";
import { DaemonAnnouncer } from "./DaemonAnnouncer.js";
import { DelayedLoadReport } from "./DelayedLoadReport.js";

const DEADLINE_HEADER = "papayaturn-deadline-ms";
const MAXIMUM_REQUEST_BYTES = 4 * 1024 * 1024;
const DRAIN_POLL_INTERVAL_MS = 10;
/** A cold server works at half speed. */
const COLD_SLOWDOWN_FACTOR = 2;

export interface BackendServer {
    readonly host: string;
    readonly port: number;
    readStatistics(): BackendStatistics;
    countExecutionsOfKey(key: string): number;
    setFaults(faults: Partial<BackendFaults>): void;
    /** Announces leaving, waits for running requests, and stops. */
    leave(): Promise<void>;
    /** Stops immediately, as in a crash: closes all connections and announces nothing. */
    kill(): Promise<void>;
}

/** How the work on a request ended. */
type WorkOutcome = "done" | "cancelled" | "deadline";

class RunningBackendServer implements BackendServer {
    readonly #statistics = new BackendStatisticsCounter();
    readonly #sockets = new Set<Socket>();
    readonly #random;
    readonly #loadReport;
    readonly #startedAt = Date.now();
    readonly #announcer: DaemonAnnouncer | undefined;
    #faults: BackendFaults = NO_FAULTS;

    constructor(private readonly options: BackendServerOptions, private readonly server: Server) {
        this.#random = createSeededRandom(options.seed);
        this.#loadReport = new DelayedLoadReport(options.slots, options.reportingLagMs);
        this.#announcer = options.daemonUrl === undefined ? undefined : new DaemonAnnouncer({
            daemonUrl: options.daemonUrl,
            buildAnnouncement: () => ({
                address: this.host,
                connections: options.connections,
                port: this.port,
                service: options.service,
                slots: options.slots,
                state: this.#isCold() ? "starting" : "live",
            }),
            readLoad: () => this.#loadReport.read(this.#faults.reporting, Date.now()),
        });
        server.on("connection", socket => {
            this.#trackConnection(socket);
        });
        server.on("request", (request, response) => void this.#handle(request, response));
    }

    get host(): string {
        return this.options.host;
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    start(): void {
        this.#announcer?.start();
    }

    readStatistics(): BackendStatistics {
        return this.#statistics.read();
    }

    countExecutionsOfKey(key: string): number {
        return this.#statistics.countExecutionsOfKey(key);
    }

    setFaults(faults: Partial<BackendFaults>): void {
        this.#faults = { ...this.#faults, ...faults };
    }

    async leave(): Promise<void> {
        await this.#announcer?.announceLeaving();
        await wait(this.options.drainMs);
        while (this.#statistics.inFlight > 0) {
            await wait(DRAIN_POLL_INTERVAL_MS);
        }
        await this.#announcer?.announceLeft();
        await this.#close();
    }

    async kill(): Promise<void> {
        this.#announcer?.stop();
        await this.#close();
    }

    async #close(): Promise<void> {
        const closed = new Promise<void>(resolve =>
            this.server.close(() => {
                resolve();
            })
        );
        for (const socket of this.#sockets) {
            socket.destroy();
        }
        await closed;
    }

    #isCold(): boolean {
        return Date.now() - this.#startedAt < this.options.coldStartMs;
    }

    #trackConnection(socket: Socket): void {
        if (this.#sockets.size >= this.options.connections) {
            socket.destroy();
            return;
        }
        this.#sockets.add(socket);
        this.#statistics.recordConnectionOpened();
        socket.once("close", () => {
            this.#sockets.delete(socket);
            this.#statistics.recordConnectionClosed();
        });
    }

    async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = new URL(request.url ?? "/", "http://server").pathname;
        if (path === "/health" || path === "/load") {
            this.#sendReport(response);
        }
        else if (path === "/control/statistics") {
            sendJson(response, 200, this.readStatistics());
        }
        else if (path === "/control/faults" && request.method === "POST") {
            this.setFaults(JSON.parse((await readBody(request)).toString()) as Partial<BackendFaults>);
            sendJson(response, 200, this.#faults);
        }
        else {
            await this.#serve(request, response, path);
        }
    }

    #sendReport(response: ServerResponse): void {
        const report = this.#loadReport.read(this.#faults.reporting, Date.now());
        sendJson(response, report.healthy ? 200 : 503, report);
    }

    async #serve(request: IncomingMessage, response: ServerResponse, path: string): Promise<void> {
        if (this.#statistics.inFlight >= this.options.slots) {
            this.#statistics.shed++;
            response.setHeader("retry-after", "1");
            sendJson(response, 503, { message: "All slots are in use." });
            return;
        }
        const execution: RequestExecution = {
            idempotencyKey: readHeader(request, "idempotency-key"),
            tag: readHeader(request, REQUEST_TAG_HEADER),
        };
        this.#recordExecutionStarted(execution);
        try {
            await this.#executeRequest(request, response, path, execution);
        }
        catch {
            response.destroy();
        }
        finally {
            this.#statistics.recordExecutionEnded();
            this.#loadReport.record(this.#statistics.inFlight, Date.now());
        }
    }

    #recordExecutionStarted(execution: RequestExecution): void {
        this.#statistics.recordExecutionStarted(execution);
        this.#loadReport.record(this.#statistics.inFlight, Date.now());
        this.options.onExecution?.(execution);
        if (this.#faults.crashOnNextRequest) {
            this.options.onCrash?.();
            void this.kill();
        }
    }

    async #executeRequest(
        request: IncomingMessage,
        response: ServerResponse,
        path: string,
        execution: RequestExecution,
    ): Promise<void> {
        const received = await readBody(request);
        const outcome = await this.#awaitServiceTime(request, response);
        if (outcome === "cancelled") {
            this.#statistics.cancelled++;
            return;
        }
        if (outcome === "deadline") {
            this.#statistics.deadlineExceeded++;
            sendJson(response, 504, { message: "The deadline passed while the request ran." });
            return;
        }
        const { body, hash } = buildAnswer({
            path,
            received: hashContent(received),
            server: `${this.host}:${this.port}`,
            service: this.options.service,
            tag: execution.tag,
        }, this.options.answerBytes);
        response.writeHead(200, {
            [CONTENT_HASH_HEADER]: hash,
            "content-length": body.length,
            "content-type": "text/plain",
        });
        if (this.#faults.cutAnswers) {
            response.write(body.subarray(0, body.length / 2), () => response.destroy());
            return;
        }
        response.end(body);
    }

    /** Waits for the random service time, the caller's deadline or its cancellation, whichever is first. */
    async #awaitServiceTime(request: IncomingMessage, response: ServerResponse): Promise<WorkOutcome> {
        const factor = this.#faults.slowFactor * (this.#isCold() ? COLD_SLOWDOWN_FACTOR : 1);
        const serviceTimeMs = this.#faults.hang
            ? Number.POSITIVE_INFINITY
            : this.options.serviceTimeMs * (0.5 + this.#random()) * factor;
        const deadlineMs = Number(readHeader(request, DEADLINE_HEADER) ?? Number.POSITIVE_INFINITY);
        const waitMs = Math.min(serviceTimeMs, deadlineMs);
        return new Promise(resolve => {
            const timer = Number.isFinite(waitMs)
                ? setTimeout(() => {
                    resolve(serviceTimeMs <= deadlineMs ? "done" : "deadline");
                }, waitMs)
                : undefined;
            response.once("close", () => {
                clearTimeout(timer);
                resolve("cancelled");
            });
        });
    }
}

function readHeader(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > MAXIMUM_REQUEST_BYTES) {
            throw new RangeError(
                `request body exceeds the limit of ${MAXIMUM_REQUEST_BYTES} bytes: ${bytes} bytes received`,
            );
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
}

/** Starts a stand-in server, which announces itself to its daemon as soon as it listens. */
export async function startBackendServer(options: BackendServerOptions): Promise<BackendServer> {
    const server = createServer();
    const running = new RunningBackendServer(options, server);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port, options.host, resolve);
    });
    running.start();
    return running;
}
