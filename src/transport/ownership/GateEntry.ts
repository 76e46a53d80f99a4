/** One request at the gate of a backend server, from the queue to its end. */
import type { OwnerLoad } from "../../coordination/placement/index.js";
import type { RegisteredServer } from "../../coordination/registration/index.js";
import type { SlotRequest } from "../../coordination/scheduling/index.js";
import type { Dialect, ServerAnswerHeaders } from "../../protocol/dialect/index.js";
import { copyAnswerHeaders, RefusalReason } from "../../protocol/request/index.js";
import { RequestKind } from "../../state/traffic/index.js";
import type { AnswerHead, OwnedHandle, OwnedRequest, OwnerEvents, OwnerRefusal } from "./OwnedRequest.js";
import {
    ANSWER_GRACE_MS,
    CLOSED_RETRY_MS,
    OFFER_TIMEOUT_MS,
    SHORTEST_BUDGET_MS,
    WHOLE_ANSWER_BYTES,
} from "./OwnershipConstants.js";
import { encodeRequest } from "./RequestBytes.js";
import type { ServerConnection } from "./ServerConnection.js";

/** What an entry needs of its gate. */
export interface GateContext {
    readonly dialect: Dialect;
    readonly now: () => number;
    acquire(isFresh: boolean): ServerConnection | undefined;
    readServer(): RegisteredServer | undefined;
    readLoad(): OwnerLoad;
    observeWork(route: string, workMs: number): void;
    /** Work that took at least this long and was then given up. */
    observeUnfinished(route: string, workMs: number): void;
    onUnreachable(detail: string): void;
    onReached(): void;
    /** Another server answered at the address. */
    onReplaced(): void;
    /** `hadSlot` tells whether a slot is to be given back. */
    onFinish(entry: GateEntry, hadSlot: boolean): void;
}

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

const Phase = { Waiting: 0, Offered: 1, Running: 2, Ended: 3 } as const;

export class GateEntry implements SlotRequest, OwnedHandle {
    readonly route: string;
    readonly priority: number;
    readonly isNested: boolean;
    readonly targetAt: number;
    readonly deadlineAt: number;
    #phase: number = Phase.Waiting;
    #connection: ServerConnection | undefined;
    #timer: NodeJS.Timeout | undefined;
    #startedAt = 0;
    #head: AnswerHead | undefined;
    #isHeadPassed = false;
    #parts: Uint8Array[] = [];
    #bytes = 0;
    #ending: "answer" | "declined" = "answer";

    constructor(
        readonly request: OwnedRequest,
        private readonly events: OwnerEvents,
        private readonly arrivedAt: number,
        private readonly context: GateContext,
    ) {
        this.route = request.route;
        this.priority = request.priority;
        this.isNested = request.isNested;
        this.targetAt = arrivedAt + request.targetLeftMs;
        this.deadlineAt = arrivedAt + request.budgetLeftMs;
    }

    get hasStarted(): boolean {
        return this.#phase !== Phase.Waiting;
    }

    refuse(refusal: OwnerRefusal): void {
        this.#phase = Phase.Ended;
        this.events.onRefused(refusal, this.context.readLoad());
    }

    /** The entry has a slot. One that may run once is offered first, so that its caller can still place it elsewhere. */
    start(isOffered: boolean): void {
        if (!isOffered) {
            this.#run();
            return;
        }
        this.#phase = Phase.Offered;
        this.#timer = setTimeout(() => this.withdrawOffer(), OFFER_TIMEOUT_MS);
        this.events.onOffer();
    }

    proceed(): void {
        if (this.#phase === Phase.Offered) {
            clearTimeout(this.#timer);
            this.#run();
        }
    }

    /** Takes an offer back that was not answered; the request is not run. */
    withdrawOffer(): void {
        if (this.#phase === Phase.Offered) {
            this.#end();
            this.events.onRefused({
                detail: "the offer was not answered, or the server left",
                reason: RefusalReason.ServerLeaving,
                retryAfterMs: CLOSED_RETRY_MS,
            }, this.context.readLoad());
        }
    }

    /** A request that may run once and is at its server runs on: its effect is wanted even without the answer. */
    cancel(): void {
        if (
            this.#phase === Phase.Ended || this.#phase === Phase.Running && this.request.kind === RequestKind.AtMostOnce
        ) {
            return;
        }
        const connection = this.#connection;
        this.#noteSlow();
        this.#end();
        connection?.destroy();
    }

    pause(): void {
        this.#connection?.pause();
    }

    resume(): void {
        this.#connection?.resume();
    }

    #run(): void {
        const now = this.context.now();
        const server = this.context.readServer();
        const timeLeftMs = this.deadlineAt - now;
        if (timeLeftMs < SHORTEST_BUDGET_MS) {
            this.#finishNotSent(RefusalReason.Deadline, "no time is left");
            return;
        }
        const connection = this.context.acquire(this.request.kind === RequestKind.AtMostOnce);
        if (server === undefined || connection === undefined) {
            this.#finishNotSent(RefusalReason.NoServer, "no server is registered");
            return;
        }
        this.#phase = Phase.Running;
        this.#startedAt = now;
        this.#connection = connection;
        this.#timer = setTimeout(() => this.#expire(), Math.max(0, timeLeftMs) + ANSWER_GRACE_MS);
        const { callerService, method, requestId } = this.request;
        const instruction = { callerService, serverId: server.serverId, timeLeftMs };
        connection.send(requestId, method === "HEAD", encodeRequest(this.request, instruction, this.context.dialect), {
            onBroken: detail => this.#finishBroken(detail),
            onData: body => this.#addData(body),
            onEnd: () => this.#finishAnswer(),
            onHead: (status, headers, statement) => this.#addHead(status, headers, statement),
            onNotSent: detail => {
                this.context.onUnreachable(detail);
                this.#finishNotSent(RefusalReason.ServerUnreachable, detail);
            },
        });
    }

    #addHead(status: number, rawHeaders: readonly string[], statement: ServerAnswerHeaders): void {
        this.context.onReached();
        if (statement.isMisdirected) {
            this.context.onReplaced();
        }
        this.#ending = statement.isNotRun || statement.isMisdirected ? "declined" : "answer";
        const workMs = this.context.now() - this.#startedAt;
        const headers = copyAnswerHeaders(rawHeaders, findHeader(rawHeaders, "connection"));
        const isCloseDelimited = !this.#isBodiless(status)
            && findHeader(rawHeaders, "content-length") === undefined
            && findHeader(rawHeaders, "transfer-encoding") === undefined;
        this.#head = { headers, isCloseDelimited, queuedMs: this.#startedAt - this.arrivedAt, status, workMs };
        if (this.#ending === "answer") {
            this.context.observeWork(this.request.route, workMs);
        }
    }

    #addData(body: Uint8Array): void {
        if (this.#ending === "declined" || this.#head === undefined) {
            return;
        }
        if (this.#isHeadPassed) {
            this.events.onData(body);
            return;
        }
        this.#parts.push(body);
        this.#bytes += body.length;
        if (this.#bytes > WHOLE_ANSWER_BYTES) {
            this.#isHeadPassed = true;
            this.events.onHead(this.#head);
            for (const part of this.#parts) {
                this.events.onData(part);
            }
            this.#parts = [];
        }
    }

    #finishAnswer(): void {
        if (this.#phase !== Phase.Running || this.#head === undefined) {
            return;
        }
        const { status } = this.#head;
        this.#end();
        const load = this.context.readLoad();
        if (this.#ending === "declined") {
            this.events.onDeclined(`the server declined with status ${status}`, load);
        }
        else if (this.#isHeadPassed) {
            this.events.onEnd(load);
        }
        else {
            this.events.onAnswer(this.#head, Buffer.concat(this.#parts), load);
        }
    }

    #finishBroken(detail: string): void {
        if (this.#phase !== Phase.Running) {
            return;
        }
        this.#end();
        const load = this.context.readLoad();
        if (this.#isHeadPassed) {
            this.events.onCut(detail, load);
        }
        else if (this.#head !== undefined && this.#ending === "declined") {
            this.events.onDeclined(detail, load);
        }
        else {
            this.events.onUnknown(detail, load);
        }
    }

    #finishNotSent(reason: RefusalReason, detail: string): void {
        this.#end();
        this.events.onRefused({ detail, reason, retryAfterMs: CLOSED_RETRY_MS }, this.context.readLoad());
    }

    #isBodiless(status: number): boolean {
        return this.request.method === "HEAD" || BODILESS_STATUSES.has(status);
    }

    /** The server gave no answer in the request's time. */
    #expire(): void {
        const connection = this.#connection;
        this.#noteSlow();
        this.#finishBroken("the server gave no answer in time");
        connection?.destroy();
    }

    /** A request that is given up shows at least that its work takes longer than this. */
    #noteSlow(): void {
        if (this.#phase === Phase.Running && this.#head === undefined) {
            this.context.observeUnfinished(this.request.route, this.context.now() - this.#startedAt);
        }
    }

    /** Ends the entry and gives its slot back, before its end is told. */
    #end(): void {
        const hadSlot = this.#phase === Phase.Offered || this.#phase === Phase.Running;
        clearTimeout(this.#timer);
        this.#phase = Phase.Ended;
        this.#connection = undefined;
        this.context.onFinish(this, hadSlot);
    }
}

function findHeader(headers: readonly string[], name: string): string | undefined {
    for (let index = 0; index + 1 < headers.length; index += 2) {
        if ((headers[index] as string).toLowerCase() === name) {
            return headers[index + 1];
        }
    }
    return undefined;
}
