/** One request to the own backend server, from the queue to its end. */
import type { OwnerLoad } from "../../coordination/placement/index.js";
import type { RegisteredServer } from "../../coordination/registration/index.js";
import type { SlotRequest } from "../../coordination/scheduling/index.js";
import type { Dialect, ServerAnswerHeaders } from "../../protocol/dialect/index.js";
import { buildAnswerHeaders, FramingKind } from "../../protocol/framing/index.js";
import type { AnswerFraming } from "../../protocol/framing/index.js";
import { RefusalReason } from "../../protocol/request/index.js";
import { isRepeatable } from "../../state/traffic/index.js";
import { realTimers, scheduleTimeout } from "../timers/index.js";
import type { RunningRequest } from "./CrashDetector.js";
import type { AnswerHead, OwnedRequest, OwnerRefusal, RequestEvents, RequestHandle } from "./OwnedRequest.js";
import {
    ANSWER_GRACE_MS,
    CLOSED_RETRY_AFTER_MS,
    DECLINED_BODY_LIMIT_BYTES,
    MAXIMUM_BUFFERED_ANSWER_BYTES,
    MINIMUM_BUDGET_MS,
    OFFER_TIMEOUT_MS,
} from "./OwnershipConstants.js";
import { encodeRequest } from "./RequestEncoder.js";
import type { ServerConnection } from "./ServerConnection.js";

/** Functions of the admission controller that an execution uses. */
export interface ExecutionContext {
    readonly dialect: Dialect;
    readonly now: () => number;
    acquireConnection(requestId: string, isFresh: boolean): ServerConnection | undefined;
    readServer(): RegisteredServer | undefined;
    readLoad(): OwnerLoad;
    recordWork(route: string, workMs: number): void;
    /** Records the size of a complete answer. */
    recordAnswerSize(route: string, expectedBytes: number, bytes: number): void;
    /** Records a request that was abandoned after it had run for this time. */
    recordUnfinished(route: string, workMs: number): void;
    onServerUnreachable(detail: string): void;
    onServerReached(): void;
    /** Called when the server ended the connection before the answer was complete; calls `report` when a crash would be known. */
    onServerBroken(server: RegisteredServer, running: RunningRequest, report: () => void): void;
    /** Called when the server has answered completely, so that the request didn't crash it. */
    onAnswered(request: OwnedRequest): void;
    /** Returns why the request must not run, since it may crash servers. */
    findRestriction(request: OwnedRequest): OwnerRefusal | undefined;
    /** Called with what a server says of itself in an answer. */
    onStatement(server: RegisteredServer, statement: ServerAnswerHeaders): void;
    /** Called when another server answers at the address of the one to which a request was sent. */
    onServerReplaced(intended: RegisteredServer): void;
    /** `hadSlot` tells whether a slot has to be released. */
    onExecutionEnd(execution: RequestExecution, hadSlot: boolean): void;
}

const Phase = { Waiting: 0, Offered: 1, Running: 2, Ended: 3 } as const;

export class RequestExecution implements SlotRequest, RequestHandle {
    readonly route: string;
    readonly priority: number;
    readonly isNested: boolean;
    readonly tenant: string | undefined;
    readonly targetAt: number;
    readonly deadlineAt: number;
    #request: OwnedRequest;
    #phase: number = Phase.Waiting;
    #connection: ServerConnection | undefined;
    /** Server to which the request was sent. */
    #server: RegisteredServer | undefined;
    #cancelTimer: () => void = () => undefined;
    #startedAt = 0;
    #head: AnswerHead | undefined;
    #isHeadForwarded = false;
    #bufferedParts: Uint8Array[] = [];
    #bufferedBytes = 0;
    #receivedBytes = 0;
    #answerKind: "answer" | "declined" = "answer";

    constructor(
        request: OwnedRequest,
        private readonly events: RequestEvents,
        private readonly arrivedAt: number,
        private readonly context: ExecutionContext,
        readonly answerBytes: number,
    ) {
        this.#request = request;
        this.route = request.route;
        this.priority = request.priority;
        this.isNested = request.isNested;
        this.tenant = request.tenant;
        this.targetAt = arrivedAt + request.targetLeftMs;
        this.deadlineAt = arrivedAt + request.budgetLeftMs;
    }

    get request(): OwnedRequest {
        return this.#request;
    }

    get hasStarted(): boolean {
        return this.#phase !== Phase.Waiting;
    }

    refuse(refusal: OwnerRefusal): void {
        this.#phase = Phase.Ended;
        this.events.onRefused(refusal, this.context.readLoad());
    }

    /** Starts in a slot. A non-idempotent request is offered first, so that its caller can still place it elsewhere. */
    start(isOffered: boolean): void {
        if (!isOffered) {
            this.#run();
            return;
        }
        this.#phase = Phase.Offered;
        this.renewOffer();
        this.events.onOffer();
    }

    renewOffer(): void {
        if (this.#phase === Phase.Offered) {
            this.#cancelTimer();
            this.#cancelTimer = scheduleTimeout(realTimers, OFFER_TIMEOUT_MS, () => this.withdrawOffer());
        }
    }

    proceed(body = this.#request.body): void {
        if (this.#phase === Phase.Offered) {
            this.#cancelTimer();
            this.#request = { ...this.#request, body };
            this.#run();
        }
    }

    /** Withdraws an offer that was not answered; the request is not run. */
    withdrawOffer(): void {
        if (this.#phase === Phase.Offered) {
            this.#end();
            this.events.onRefused({
                detail: "the offer was not answered, or the server left",
                reason: RefusalReason.ServerLeaving,
                retryAfterMs: CLOSED_RETRY_AFTER_MS,
            }, this.context.readLoad());
        }
    }

    /** Cancels the request, unless it is non-idempotent and running: its effect is wanted even without the answer. */
    cancel(): void {
        if (
            this.#phase === Phase.Ended || this.#phase === Phase.Running && !isRepeatable(this.request.kind)
        ) {
            return;
        }
        const connection = this.#connection;
        this.#recordUnfinishedWork();
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
        if (timeLeftMs < MINIMUM_BUDGET_MS) {
            this.#failBeforeSend(RefusalReason.Deadline, "no time is left");
            return;
        }
        const restriction = this.context.findRestriction(this.request);
        if (restriction !== undefined) {
            this.#end();
            this.events.onRefused(restriction, this.context.readLoad());
            return;
        }
        const isFresh = !isRepeatable(this.request.kind);
        const connection = this.context.acquireConnection(this.request.requestId, isFresh);
        if (server === undefined || connection === undefined) {
            this.#failBeforeSend(RefusalReason.NoServer, "no server is registered");
            return;
        }
        this.#phase = Phase.Running;
        this.#startedAt = now;
        this.#connection = connection;
        this.#server = server;
        this.#cancelTimer = realTimers.after(timeLeftMs + ANSWER_GRACE_MS, () => this.#handleTimeout());
        const { callerService, method, requestId, tenant } = this.request;
        const instruction = { callerService, serverId: server.serverId, tenant, timeLeftMs };
        connection.send(requestId, method === "HEAD", encodeRequest(this.request, instruction, this.context.dialect), {
            onBroken: (detail, isClosed) => {
                const running = { ranMs: this.context.now() - this.#startedAt, request: this.request };
                this.#failAfterSend(
                    detail,
                    isClosed ? report => this.context.onServerBroken(server, running, report) : undefined,
                );
            },
            onData: body => this.#handleData(body),
            onEnd: () => this.#completeAnswer(),
            onHead: (status, headers, framing, statement) => this.#handleHead(status, headers, framing, statement),
            onNotSent: detail => {
                this.context.onServerUnreachable(detail);
                this.#failBeforeSend(RefusalReason.ServerUnreachable, detail);
            },
        });
    }

    #handleHead(
        status: number,
        rawHeaders: readonly string[],
        framing: AnswerFraming,
        statement: ServerAnswerHeaders,
    ): void {
        this.context.onServerReached();
        if (this.#server !== undefined) {
            if (statement.isMisdirected) {
                this.context.onServerReplaced(this.#server);
            }
            else {
                this.context.onStatement(this.#server, statement);
            }
        }
        this.#answerKind = statement.isNotRun || statement.isMisdirected ? "declined" : "answer";
        const workMs = this.context.now() - this.#startedAt;
        const headers = buildAnswerHeaders(rawHeaders, status, framing);
        const isCloseDelimited = framing.kind === FramingKind.Close;
        this.#head = { headers, isCloseDelimited, queuedMs: this.#startedAt - this.arrivedAt, status, workMs };
        if (this.#answerKind === "answer") {
            this.context.recordWork(this.request.route, workMs);
        }
    }

    #handleData(body: Uint8Array): void {
        if (this.#head === undefined) {
            return;
        }
        if (this.#answerKind === "declined") {
            this.#bufferedBytes += body.length;
            if (this.#bufferedBytes > DECLINED_BODY_LIMIT_BYTES) {
                const connection = this.#connection;
                this.#failAfterSend("the server declined, with a body that was not read to its end");
                connection?.destroy();
            }
            return;
        }
        this.#receivedBytes += body.length;
        if (this.#isHeadForwarded) {
            this.events.onData(body);
            return;
        }
        this.#bufferedParts.push(body);
        this.#bufferedBytes += body.length;
        if (this.#bufferedBytes > MAXIMUM_BUFFERED_ANSWER_BYTES) {
            this.#isHeadForwarded = true;
            this.events.onHead(this.#head);
            this.events.onData(Buffer.concat(this.#bufferedParts));
            this.#bufferedParts = [];
        }
    }

    #completeAnswer(): void {
        if (this.#phase !== Phase.Running || this.#head === undefined) {
            return;
        }
        const { status } = this.#head;
        this.#end();
        const load = this.context.readLoad();
        if (this.#answerKind === "declined") {
            this.events.onDeclined(`the server declined with status ${status}`, load);
        }
        else if (this.#isHeadForwarded) {
            this.context.recordAnswerSize(this.request.route, this.answerBytes, this.#receivedBytes);
            this.context.onAnswered(this.request);
            this.events.onEnd(load);
        }
        else {
            this.context.recordAnswerSize(this.request.route, this.answerBytes, this.#receivedBytes);
            this.context.onAnswered(this.request);
            this.events.onAnswer(this.#head, Buffer.concat(this.#bufferedParts), load);
        }
    }

    /** `schedule` calls its argument, which reports the result, at once or later. */
    #failAfterSend(detail: string, schedule: (report: () => void) => void = report => report()): void {
        if (this.#phase !== Phase.Running) {
            return;
        }
        this.#end();
        schedule(() => {
            const load = this.context.readLoad();
            if (this.#isHeadForwarded) {
                this.events.onAnswerAborted(detail, load);
            }
            else if (this.#head !== undefined && this.#answerKind === "declined") {
                this.events.onDeclined(detail, load);
            }
            else {
                this.events.onOutcomeUnknown(detail, load);
            }
        });
    }

    #failBeforeSend(reason: RefusalReason, detail: string): void {
        this.#end();
        this.events.onRefused({ detail, reason, retryAfterMs: CLOSED_RETRY_AFTER_MS }, this.context.readLoad());
    }

    /** Fails the request when the server has not answered within its budget. */
    #handleTimeout(): void {
        const connection = this.#connection;
        this.#recordUnfinishedWork();
        this.#failAfterSend("the server gave no answer in time");
        connection?.destroy();
    }

    /** Records the time that an abandoned request has run, a lower bound of its work. */
    #recordUnfinishedWork(): void {
        if (this.#phase === Phase.Running && this.#head === undefined) {
            this.context.recordUnfinished(this.request.route, this.context.now() - this.#startedAt);
        }
    }

    /** Ends the execution and releases its slot, before the result is reported. */
    #end(): void {
        const hadSlot = this.#phase === Phase.Offered || this.#phase === Phase.Running;
        this.#cancelTimer();
        this.#phase = Phase.Ended;
        this.#connection = undefined;
        this.context.onExecutionEnd(this, hadSlot);
    }
}
