/** HTTP listener for callers on this VM: reads requests, finds their routes and forwards them. */
import { createServer, STATUS_CODES } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { isValidHeaderList } from "../../protocol/request/index.js";
import type { RoutePolicy, TrafficConfiguration } from "../../state/traffic/index.js";
import { OpenRequests } from "../connections/index.js";
import { registerPacedRequests } from "../input/index.js";
import type { CostlyReads } from "../input/index.js";
import { sleepFor } from "../timers/index.js";
import type { UplinkSender } from "../uplink/index.js";
import { CallerExchange } from "./CallerExchange.js";
import { answerClientError, answerUnavailable } from "./DaemonAnswers.js";
import type { AnsweredRequest } from "./DaemonAnswers.js";
import { BodyReadFault, RequestBodyReader } from "./RequestBodyReader.js";
import type { BodyReadResult } from "./RequestBodyReader.js";
import { RequestRouter } from "./RequestRouter.js";
import type { RequestRouterOptions, RoutableRequest } from "./RequestRouter.js";
import {
    DRAIN_ACCEPT_MS,
    DRAIN_CHECK_INTERVAL_MS,
    DRAIN_IDLE_MS,
    DRAIN_TARGET_FACTOR,
    INITIAL_HEADER_TIMEOUT_MS,
    INITIAL_IDLE_TIMEOUT_MS,
    MINIMUM_DRAIN_MS,
    PARSER_HEADER_LIMIT_BYTES,
    REOPEN_DELAY_MS,
} from "./TrafficConstants.js";

export interface CallerListenerOptions extends RequestRouterOptions {
    /** Sends large answers at the rate that the link allows. */
    readonly uplink: UplinkSender;
    readonly readConfiguration: () => TrafficConfiguration | undefined;
    /** Divides the processor time for bodies that come in tiny chunks. */
    readonly costlyReads: CostlyReads;
    /** Whether the connections that wait to be accepted should be reset, after a request whose caller had left before it was read. */
    tryReset(requestId: string): boolean;
}

const BAD_REQUEST_STATUS = 400;
const TOO_LARGE_STATUS = 413;
const HEADERS_TOO_LARGE_STATUS = 431;
/** How Node.js marks errors of its parser. */
const PARSE_ERROR_PREFIX = "HPE_";
const HEADER_OVERFLOW_CODE = "HPE_HEADER_OVERFLOW";
/** Size of the separator `: ` and the line end of a header field. */
const FIELD_OVERHEAD_BYTES = 4;

export class CallerListener {
    readonly #options: CallerListenerOptions;
    readonly #server: Server;
    readonly #bodyReader = new RequestBodyReader();
    readonly #router: RequestRouter;
    readonly #requests = new OpenRequests();
    #openRequests = 0;
    #lastRequestAt = 0;
    #drainStartedAt: number | undefined;
    /** End of a planned stop, at which running requests are broken off. */
    #drainEndsAt = Infinity;
    #isClosed = false;

    constructor(options: CallerListenerOptions) {
        this.#options = options;
        this.#router = new RequestRouter(options);
        this.#server = createServer({
            headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
            keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS,
            maxHeaderSize: PARSER_HEADER_LIMIT_BYTES,
            noDelay: true,
            requestTimeout: 0,
        });
        this.#server.maxHeadersCount = 0;
        registerPacedRequests(this.#server, options.costlyReads, options.now);
        const handle = (request: IncomingMessage, response: ServerResponse, onAccepted = () => undefined): void => {
            response.sendDate = false;
            this.#openRequests++;
            this.#lastRequestAt = options.now();
            this.#requests.add(request, response);
            response.once("close", () => this.#openRequests--);
            void this.#handleRequest(request, response, onAccepted).catch((error: unknown) => {
                options.log.error("request failed with an internal error.", { err: error });
                response.destroy();
            });
        };
        this.#server.on("request", (request, response) => handle(request, response));
        // A caller that asks first sends its body only once it is wanted.
        this.#server.on(
            "checkContinue",
            (request, response) => handle(request, response, () => void response.writeContinue()),
        );
        this.#server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
            options.log.info(`closed the connection of a caller: ${error.message}.`, { code: error.code });
            if (
                error.code?.startsWith(PARSE_ERROR_PREFIX) === true && socket.writable && !this.#requests.has(socket)
            ) {
                socket.end(formatParseRefusal(error.code));
            }
            else {
                socket.destroy();
            }
        });
    }

    /** Requests that have not been answered yet. */
    get openRequests(): number {
        return this.#openRequests;
    }

    listen(address: string, port: number): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, address, () => {
                this.#server.off("error", reject);
                resolve();
            });
        });
    }

    /** Applies the limits and routes of a new version. */
    applyConfiguration(configuration: TrafficConfiguration): void {
        const { limits } = configuration;
        this.#server.headersTimeout = limits.headerTimeoutMs;
        this.#server.keepAliveTimeout = limits.idleTimeoutMs;
        this.#router.applyConfiguration(configuration);
    }

    /** Keeps serving until callers have gone elsewhere and all answers are sent, for at most `timeoutMs`. */
    async drain(timeoutMs: number): Promise<void> {
        const startedAt = this.#options.now();
        this.#drainStartedAt = startedAt;
        this.#drainEndsAt = startedAt + timeoutMs;
        for (;;) {
            await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_INTERVAL_MS));
            const now = this.#options.now();
            const elapsed = now - startedAt;
            const isQuiet = this.#openRequests === 0 && now - this.#lastRequestAt > DRAIN_IDLE_MS;
            if (elapsed >= timeoutMs || elapsed >= MINIMUM_DRAIN_MS && isQuiet) {
                break;
            }
        }
        this.#server.close();
        this.#server.closeIdleConnections();
    }

    closeAbruptly(): void {
        this.#isClosed = true;
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Resets the connections that wait to be accepted, whose callers may come back at once, and listens again. */
    #resetWaitingConnections(): void {
        const address = this.#server.address() as AddressInfo | null;
        if (address === null) {
            return;
        }
        // An HTTP server would close idle connections with its port; what it has accepted goes on here.
        NetServer.prototype.close.call(this.#server);
        void this.#reopen(address);
    }

    async #reopen({ address, port }: AddressInfo): Promise<void> {
        while (!this.#isClosed && this.#drainStartedAt === undefined) {
            try {
                await this.listen(address, port);
                return;
            }
            catch (error) {
                this.#options.log.error(`the port of callers can't be opened again: ${(error as Error).message}.`, {
                    port,
                });
                await sleepFor(this.#options.timers, REOPEN_DELAY_MS);
            }
        }
    }

    /** Whether a request that arrives now is refused since a planned stop might end before it. */
    #isRefusing(route: RoutePolicy, now: number): boolean {
        return this.#drainStartedAt !== undefined && (
            now - this.#drainStartedAt > DRAIN_ACCEPT_MS
            || now + Math.min(route.targetLatencyMs * DRAIN_TARGET_FACTOR, route.timeoutMs) > this.#drainEndsAt
        );
    }

    /** `onAccepted` is called before the body is read. */
    async #handleRequest(
        request: IncomingMessage,
        response: ServerResponse,
        onAccepted: () => void,
    ): Promise<void> {
        const arrivedAt = this.#options.now();
        const exchange = new CallerExchange(
            request,
            response,
            () => this.#drainStartedAt !== undefined || !request.complete,
            this.#options.uplink,
        );
        if (!isValidHeaderList(request.rawHeaders)) {
            response.shouldKeepAlive = false;
            this.#reject(
                exchange,
                { requestId: undefined },
                BAD_REQUEST_STATUS,
                "the name or the value of a header is malformed",
            );
            return;
        }
        const configuration = this.#options.readConfiguration();
        const requestId = this.#options.dialect.parseCallerHeaders(request.headers).requestId;
        if (configuration === undefined) {
            this.#refuse(exchange, { requestId }, "no configuration is in force on this daemon yet");
            return;
        }
        if (requestId === undefined) {
            this.#reject(exchange, { requestId }, BAD_REQUEST_STATUS, "the request has no id");
            return;
        }
        if (countHeaderBytes(request) > configuration.limits.headerBytes) {
            this.#reject(exchange, { requestId }, HEADERS_TOO_LARGE_STATUS, "the headers are too large");
            return;
        }
        const target = request.url ?? "";
        const decision = await this.#router.decide(exchange, requestId, target);
        if (decision === undefined) {
            return;
        }
        if (this.#isRefusing(decision.route, arrivedAt)) {
            this.#refuse(exchange, { decision, requestId }, "this daemon is stopping");
            return;
        }
        const body = await this.#bodyReader.read(request, configuration.limits.bodyBytes, onAccepted);
        await waitForPendingReads();
        if (exchange.hasCallerLeft && this.#drainStartedAt === undefined && this.#options.tryReset(requestId)) {
            this.#resetWaitingConnections();
        }
        if (body.kind === "body" && this.#isRefusing(decision.route, this.#options.now())) {
            this.#bodyReader.release(body.bytes);
            this.#refuse(exchange, { decision, requestId }, "this daemon is stopping");
            return;
        }
        this.#forward(exchange, body, { arrivedAt, decision, requestId, target });
    }

    #forward(
        exchange: CallerExchange,
        body: BodyReadResult,
        request: Pick<RoutableRequest, "arrivedAt" | "decision" | "requestId" | "target">,
    ): void {
        switch (body.kind) {
            case BodyReadFault.CallerDisconnected:
                return;
            case BodyReadFault.TooLarge:
                this.#reject(exchange, request, TOO_LARGE_STATUS, "the body is too large");
                return;
            case BodyReadFault.MemoryLimit:
                this.#refuse(exchange, request, "too many bodies are being read");
                return;
        }
        this.#router.forward(exchange, {
            ...request,
            body: body.bytes,
            release: () => this.#bodyReader.release(body.bytes),
        });
    }

    #refuse(exchange: CallerExchange, request: AnsweredRequest, detail: string): void {
        answerUnavailable(this.#options, exchange, request, detail);
    }

    #reject(exchange: CallerExchange, request: AnsweredRequest, status: number, detail: string): void {
        answerClientError(this.#options, exchange, request, status, detail);
    }
}

/**
 * Lets the process read what else has arrived. After a time without the processor that may be the end of the caller's
 * connection, which the event loop reads in the iteration after the one of the request.
 */
async function waitForPendingReads(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
    await new Promise(resolve => setImmediate(resolve));
}

function formatParseRefusal(code: string): string {
    const status = code === HEADER_OVERFLOW_CODE ? HEADERS_TOO_LARGE_STATUS : BAD_REQUEST_STATUS;
    return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`;
}

function countHeaderBytes({ method, rawHeaders, url }: IncomingMessage): number {
    return rawHeaders.reduce((sum, text) => sum + text.length, 0) + rawHeaders.length / 2 * FIELD_OVERHEAD_BYTES
        + (method?.length ?? 0) + (url?.length ?? 0);
}
