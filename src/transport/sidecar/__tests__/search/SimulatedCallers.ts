/** The callers of a simulated daemon: requests go through the daemon's router; only reading and writing HTTP are left out. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Dialect } from "../../../../protocol/dialect/index.js";
import type { Random } from "../../../../state/shared/index.js";
import type { TrafficConfiguration } from "../../../../state/traffic/index.js";
import type { PartLogger } from "../../../logging/index.js";
import type { Timers } from "../../../timers/index.js";
import { CallerExchange } from "../../../traffic/CallerExchange.js";
import type { ServerDirectory } from "../../../traffic/index.js";
import { HedgeManager } from "../../../traffic/index.js";
import { RequestRouter } from "../../../traffic/RequestRouter.js";
import type { RequestRouterOptions } from "../../../traffic/RequestRouter.js";
import { UplinkSender } from "../../../uplink/index.js";
import { HOST } from "./SimulatedVersions.js";

/** Time for which callers wait for an answer; one of some has too little for a renewal of the lease that the store leaves unanswered. */
const CALLER_BUDGET_MS = 2_500;
const SHORT_BUDGET_MS = 500;
const SHORT_BUDGET_SHARE = 4;
const ID_HEADER = "id";
const UNAVAILABLE_STATUS = 503;

export interface SimulatedCallersOptions
    extends Pick<RequestRouterOptions, "recordOutdated" | "resolveRoute" | "selfId" | "widen">
{
    readonly directory: ServerDirectory;
    readonly log: PartLogger;
    readonly now: () => number;
    readonly random: Random;
    readonly timers: Timers;
    /** Service of the VM. */
    readonly service: string;
    readConfiguration(): TrafficConfiguration | undefined;
    /** `version` is the one that has decided; undefined when none has. */
    onAnswered(requestId: string, status: number, version: number | undefined): void;
}

/** Whether the caller of a request may not wait for a renewal of the lease. */
export function hasShortBudget(requestId: string): boolean {
    return Number(/\d+$/.exec(requestId)?.[0]) % SHORT_BUDGET_SHARE === 0;
}

/** Headers of the simulated platform: a request has an id only. */
const DIALECT = {
    buildRetryAfterHeaders: () => [],
    findSignature: () => undefined,
    isSystemHeader: (name: string) => name === ID_HEADER,
    parseCallerHeaders: (headers: IncomingMessage["headers"]) => {
        const requestId = headers[ID_HEADER] as string;
        return {
            parentId: undefined,
            requestId,
            timeLeftMs: hasShortBudget(requestId) ? SHORT_BUDGET_MS : CALLER_BUDGET_MS,
        };
    },
} as unknown as Dialect;

export class SimulatedCallers {
    readonly #options: SimulatedCallersOptions;
    readonly #router: RequestRouter;
    readonly #uplink: UplinkSender;
    /** Versions that have decided on the requests without an answer. */
    readonly #decidedBy = new Map<string, number>();

    constructor(options: SimulatedCallersOptions) {
        this.#options = options;
        this.#uplink = new UplinkSender(undefined, options.now);
        this.#router = new RequestRouter({
            ...options,
            dialect: DIALECT,
            findRestriction: () => undefined,
            findRunning: () => undefined,
            findSuspicion: () => undefined,
            hedging: new HedgeManager({
                ...options,
                readSettings: () => ({ excludedRoutes: [], minimumDelayMs: 0, share: 0 }),
                takeHedge: () => false,
            }),
            readCallerService: () => options.service,
            recorder: { count: () => undefined, record: () => undefined },
            recordRelayedAnswer: () => undefined,
            recordRequest: () => undefined,
            recordRetry: () => undefined,
            resolveRoute: async question => {
                const decision = await options.resolveRoute(question);
                if (decision !== undefined) {
                    this.#decidedBy.set(question.requestId, decision.version);
                }
                return decision;
            },
            takeRetry: () => true,
        });
    }

    applyConfiguration(configuration: TrafficConfiguration): void {
        this.#router.applyConfiguration(configuration);
    }

    send(requestId: string, path: string): void {
        if (this.#options.readConfiguration() === undefined) {
            this.#options.onAnswered(requestId, UNAVAILABLE_STATUS, undefined);
            return;
        }
        void this.#route(requestId, path);
    }

    async #route(requestId: string, path: string): Promise<void> {
        const arrivedAt = this.#options.now();
        const exchange = this.#createExchange(requestId, path, status => {
            this.#options.onAnswered(requestId, status, this.#decidedBy.get(requestId));
            this.#decidedBy.delete(requestId);
        });
        const decision = await this.#router.decide(exchange, requestId, path);
        if (decision !== undefined) {
            this.#router.forward(exchange, {
                arrivedAt,
                body: new Uint8Array(0),
                decision,
                release: () => undefined,
                requestId,
                target: path,
            });
        }
    }

    /** Exchange with a stand-in for the caller's connection, which never closes. */
    #createExchange(requestId: string, path: string, onStatus: (status: number) => void): CallerExchange {
        const request = {
            headers: { host: HOST, [ID_HEADER]: requestId },
            method: "GET",
            rawHeaders: ["host", HOST, ID_HEADER, requestId],
            socket: { destroyed: false, readableEnded: false },
            url: path,
        } as unknown as IncomingMessage;
        let written = 0;
        const response = {
            destroy: () => onStatus(0),
            destroyed: false,
            end: () => onStatus(written),
            on: () => undefined,
            writableFinished: true,
            writableNeedDrain: false,
            write: () => true,
            writeHead: (status: number) => {
                written = status;
            },
        } as unknown as ServerResponse;
        return new CallerExchange(request, response, () => false, this.#uplink);
    }
}
