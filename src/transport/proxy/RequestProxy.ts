import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { LoadBalancer } from "../../coordination/balancing/index.js";
import { HeldLeases } from "../../coordination/leases/index.js";
import { deriveRelayToken, isValidHeaderList, RefusalReason } from "../../protocol/request/index.js";
import type { LoadReport } from "../../protocol/request/index.js";
import type { MemberState } from "../../state/members/index.js";
import { OpenRequests } from "../connections/index.js";
import { AgeClock } from "../timers/index.js";
import { handleCallerRequest } from "./CallerRequestHandler.js";
import { ConnectionPools } from "./ConnectionPools.js";
import { DeadlineQueue } from "./DeadlineQueue.js";
import { explainRequest } from "./Explanation.js";
import type { ExplainQuery, Explanation } from "./Explanation.js";
import { startLeaseRenewer } from "./LeaseRenewer.js";
import type { LeaseRenewer } from "./LeaseRenewer.js";
import { OwnServer } from "./OwnServer.js";
import { formatParseRefusal } from "./PlainAnswer.js";
import type { ParseRefusalReason } from "./PlainAnswer.js";
import { CALLER_IDLE_TIMEOUT_MS, HEADER_MAXIMUM_BYTES, HEADER_TIMEOUT_MS } from "./ProxyConstants.js";
import type { ProxyContext, RequestProxyOptions } from "./ProxyContext.js";
import { handleRelayRequest } from "./RelayRequestHandler.js";
import { RetryBudgets } from "./RetryBudgets.js";

/** The request path of one daemon, accepting requests until it is stopped. */
export interface RequestProxy {
    readonly requestPort: number;
    readonly relayPort: number;
    /** Explains where a request would go and why. */
    explain(query: ExplainQuery): Explanation;
    /** Sets the state of the local server immediately, before its member record has changed. */
    setServerState(state: MemberState): void;
    /** Sets the result of the local server's health check; it is reported with the load and removes no server. */
    setServerHealth(isHealthy: boolean): void;
    /** Load of the local server as reported to other daemons. */
    readLoad(): LoadReport;
    /** Time, by the clock of `now`, of the last request that showed the state of the local server. */
    readLastResultAt(): number;
    /** Refuses new requests, waits for requests in flight, then closes all connections. */
    stop(): Promise<void>;
    /** Closes all connections immediately, as a crash does; for tests. */
    closeAbruptly(): Promise<void>;
}

type RequestHandler = (
    request: Parameters<typeof handleCallerRequest>[1],
    response: ServerResponse,
    expectsContinue: boolean,
) => Promise<void>;

/** Opens the ports for callers and for other daemons. Rejects when a port can't be bound. */
export async function startRequestProxy(options: RequestProxyOptions): Promise<RequestProxy> {
    const state: ProxyState = { isStopping: false, leaseRenewer: undefined };
    const context = createContext(options, state);
    const inFlight = new Set<Promise<void>>();
    const callers = createRequestServer(
        inFlight,
        options,
        (request, response, expectsContinue) => handleCallerRequest(context, request, response, expectsContinue),
    );
    const relays = createRequestServer(
        inFlight,
        options,
        (request, response) => handleRelayRequest(context, request, response),
    );
    const requestPort = await openPort(callers, options.requestPort, options.address);
    const relayPort = await openPort(relays, options.relayPort, options.relayAddress ?? options.address);
    const leaseRenewer = startLeaseRenewer(context);
    state.leaseRenewer = leaseRenewer;
    const closePorts = async (pending: ReadonlySet<Promise<void>>): Promise<void> => {
        await Promise.all([closeServer(callers, pending), closeServer(relays, pending)]);
        context.deadlines.stop();
        await context.pools.stop();
    };
    options.log("info", "proxy: accepts requests.", { requestPort, relayPort });
    return {
        requestPort,
        relayPort,
        explain: query => explainRequest(context, query),
        setServerState: serverState => {
            context.ownServer.setState(serverState);
        },
        setServerHealth: isHealthy => {
            context.ownServer.setHealthy(isHealthy);
        },
        readLoad: () => context.ownServer.readLoad(options.now()),
        readLastResultAt: () => context.ownServer.lastResultAt,
        stop: async () => {
            state.isStopping = true;
            // Requests that arrive from now on are refused immediately, so only those already in flight are awaited.
            await Promise.all(inFlight);
            await leaseRenewer.returnAll();
            await closePorts(inFlight);
            options.log("info", "proxy: stopped.");
        },
        closeAbruptly: () => {
            state.isStopping = true;
            leaseRenewer.stop();
            return closePorts(new Set());
        },
    };
}

/** Mutable state of a proxy. */
interface ProxyState {
    isStopping: boolean;
    leaseRenewer: LeaseRenewer | undefined;
}

function createContext(options: RequestProxyOptions, state: ProxyState): ProxyContext {
    const leases = new HeldLeases();
    const leaseClock = new AgeClock({
        now: options.now,
        onLost: ms => {
            options.log("warn", "proxy: the steady clock has not counted some time, in which leases may have ended.", {
                lostMs: Math.round(ms),
            });
        },
        readWallClock: options.readWallClock ?? options.now,
    });
    const startedAt = options.now();
    const retryBudgets = new RetryBudgets(options.readView);
    const balancer = new LoadBalancer({
        locality: { id: options.selfId, failureDomain: options.failureDomain, region: options.region },
        readView: options.readView,
        random: options.random,
        isOneHop: memberId => memberId === options.selfId || leases.hasFreeSlot(memberId, leaseClock.now()),
    });
    // The start time keeps ids unique across restarts of the daemon.
    const idPrefix = `${options.selfId}-${Math.floor(startedAt).toString(36)}-`;
    let lastId = 0;
    return {
        options,
        relayToken: deriveRelayToken(options.meshKey),
        deadlines: new DeadlineQueue(options.now),
        pools: new ConnectionPools(),
        balancer,
        leases,
        readLeaseTime: leaseClock.now,
        ownServer: new OwnServer(options.selfId, options.readView, startedAt),
        selectServer: options.selectServer ?? (query => balancer.selectServer(query)),
        takeRetry: options.takeRetry ?? ((service, now) => retryBudgets.takeRetry(service, now)),
        recordRequest: (service, now) => {
            retryBudgets.recordRequest(service, now);
        },
        requestLease: owner => {
            state.leaseRenewer?.requestLease(owner);
        },
        isStopping: () => state.isStopping,
        createId: () => `${idPrefix}${(++lastId).toString(36)}`,
    };
}

function createRequestServer(
    inFlight: Set<Promise<void>>,
    options: RequestProxyOptions,
    handle: RequestHandler,
): Server {
    const server = createServer({
        maxHeaderSize: HEADER_MAXIMUM_BYTES,
        headersTimeout: HEADER_TIMEOUT_MS,
        // The route's deadline limits how long a body may take.
        requestTimeout: 0,
        keepAliveTimeout: CALLER_IDLE_TIMEOUT_MS,
        noDelay: true,
    });
    // Node silently drops headers beyond a maximum count; the size limit bounds them instead.
    server.maxHeadersCount = 0;
    const requests = new OpenRequests();
    const refuse: RefuseParsing = (socket, reason) => {
        if (requests.hasWhole(socket)) {
            socket.destroy();
        }
        else {
            socket.end(formatParseRefusal(reason));
        }
    };
    const createListener =
        (expectsContinue: boolean) => (request: Parameters<RequestHandler>[0], response: ServerResponse) => {
            if (!isValidHeaderList(request.rawHeaders)) {
                refuse(request.socket, RefusalReason.BadRequest);
                return;
            }
            requests.add(request, response);
            const closed = new Promise<void>(resolve => response.once("close", resolve));
            const done = handle(request, response, expectsContinue).catch((error: unknown) => {
                options.log("warn", "proxy: request failed with an internal error.", { error: String(error) });
                response.destroy();
            }).then(() => closed);
            inFlight.add(done);
            void done.finally(() => inFlight.delete(done));
        };
    server.on("request", createListener(false));
    server.on("checkContinue", createListener(true));
    server.on("connect", (_request, socket: Socket) => refuse(socket, RefusalReason.BadRequest));
    server.on("clientError", (error, socket: Socket) => handleParseError(error, socket, refuse));
    return server;
}

/** Refuses what can't be parsed, unless an earlier request on the connection may run, and closes the connection. */
type RefuseParsing = (socket: Socket, reason: ParseRefusalReason) => void;

function handleParseError(error: NodeJS.ErrnoException, socket: Socket, refuse: RefuseParsing): void {
    if (!socket.writable || socket.bytesWritten > 0 && error.code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    refuse(
        socket,
        error.code === "HPE_HEADER_OVERFLOW" ? RefusalReason.HeadersTooLarge : RefusalReason.BadRequest,
    );
}

function openPort(server: Server, port: number, address: string): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, () => {
            server.off("error", reject);
            resolve((server.address() as AddressInfo).port);
        });
    });
}

/** Stops listening, waits for the pending requests, and closes all connections. */
async function closeServer(server: Server, pending: ReadonlySet<Promise<void>>): Promise<void> {
    const closed = new Promise<void>(resolve => {
        server.close(() => {
            resolve();
        });
    });
    await Promise.all(pending);
    server.closeAllConnections();
    await closed;
}
