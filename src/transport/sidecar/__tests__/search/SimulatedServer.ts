/** The gate of a simulated backend server: slots, a queue, offers, and the refusal of requests by replaced versions. */
import type { OwnerLoad } from "../../../../coordination/placement/index.js";
import { RefusalReason } from "../../../../protocol/request/index.js";
import type { Random } from "../../../../state/shared/index.js";
import { RequestKind } from "../../../../state/traffic/index.js";
import type { OwnedRequest, OwnerRefusal, RequestEvents, RequestHandle } from "../../../ownership/index.js";
import type { Timers } from "../../../timers/index.js";
import { SLOW_PATH } from "./SimulatedVersions.js";

const SLOTS = 12;
const MAXIMUM_QUEUED = 24;
const SHORTEST_WORK_MS = 1;
const LONGEST_WORK_MS = 20;
const SLOW_WORK_MS = 1_400;
const RETRY_AFTER_MS = 50;
const OFFER_TIMEOUT_MS = 1_000;

export interface SimulatedServerOptions {
    readonly service: string;
    readonly timers: Timers;
    readonly random: Random;
    /** Returns why a request must not run; undefined for all others. */
    findRestriction(request: OwnedRequest): OwnerRefusal | undefined;
    onRun(request: OwnedRequest): void;
    /** Called after the gate has closed. */
    onChange(load: OwnerLoad): void;
}

interface Execution {
    readonly request: OwnedRequest;
    readonly events: RequestEvents;
    isEnded: boolean;
    hasSlot: boolean;
    cancelTimer: () => void;
}

export class SimulatedServer {
    readonly #options: SimulatedServerOptions;
    readonly #queue: Execution[] = [];
    #running = 0;
    #isOpen = true;

    constructor(options: SimulatedServerOptions) {
        this.#options = options;
    }

    readLoad(): OwnerLoad {
        const waitMs = this.#queue.length * LONGEST_WORK_MS / SLOTS;
        return {
            coldLeftMs: 0,
            isOpen: this.#isOpen,
            queued: this.#queue.length,
            running: this.#running,
            slots: SLOTS,
            waits: { inTimeMs: waitMs, lateMs: waitMs, nestedMs: waitMs },
            workMs: LONGEST_WORK_MS / 2,
        };
    }

    /** Refuses new requests from now on. */
    close(): void {
        this.#isOpen = false;
        this.#options.onChange(this.readLoad());
    }

    submit(request: OwnedRequest, events: RequestEvents): RequestHandle {
        const execution: Execution = { cancelTimer: () => undefined, events, hasSlot: false, isEnded: false, request };
        const refusal = this.#findRefusal(request);
        if (refusal === undefined) {
            this.#queue.push(execution);
            this.#startNext();
        }
        else {
            execution.isEnded = true;
            events.onRefused(refusal, this.readLoad());
        }
        const ignore = (): void => undefined;
        return {
            cancel: () => this.#end(execution),
            pause: ignore,
            proceed: () => {
                if (execution.hasSlot && !execution.isEnded) {
                    execution.cancelTimer();
                    this.#run(execution);
                }
            },
            resume: ignore,
        };
    }

    #findRefusal(request: OwnedRequest): OwnerRefusal | undefined {
        const refuse = (reason: RefusalReason): OwnerRefusal => ({
            detail: reason,
            reason,
            retryAfterMs: RETRY_AFTER_MS,
        });
        if (!this.#isOpen) {
            return refuse(RefusalReason.ServerLeaving);
        }
        if (request.service !== this.#options.service) {
            return refuse(RefusalReason.Misdirected);
        }
        return this.#queue.length >= MAXIMUM_QUEUED
            ? refuse(RefusalReason.Overloaded)
            : this.#options.findRestriction(request);
    }

    #startNext(): void {
        while (this.#running < SLOTS) {
            const execution = this.#queue.shift();
            if (execution === undefined) {
                return;
            }
            execution.hasSlot = true;
            this.#running++;
            if (execution.request.kind === RequestKind.AtMostOnce) {
                execution.cancelTimer = this.#options.timers.after(OFFER_TIMEOUT_MS, () => {
                    this.#end(execution);
                    execution.events.onRefused(
                        { detail: "the offer was not answered", reason: RefusalReason.ServerLeaving, retryAfterMs: 0 },
                        this.readLoad(),
                    );
                });
                execution.events.onOffer();
            }
            else {
                this.#run(execution);
            }
        }
    }

    #run(execution: Execution): void {
        const { events, request } = execution;
        const restriction = this.#options.findRestriction(request);
        if (restriction !== undefined) {
            this.#end(execution);
            events.onRefused(restriction, this.readLoad());
            return;
        }
        this.#options.onRun(request);
        const { random, timers } = this.#options;
        const workMs = request.target.startsWith(SLOW_PATH)
            ? SLOW_WORK_MS
            : SHORTEST_WORK_MS + random() * (LONGEST_WORK_MS - SHORTEST_WORK_MS);
        execution.cancelTimer = timers.after(workMs, () => {
            this.#end(execution);
            events.onAnswer(
                { headers: [], isCloseDelimited: false, queuedMs: 0, status: 200, workMs },
                new Uint8Array(0),
                this.readLoad(),
            );
        });
    }

    #end(execution: Execution): void {
        if (execution.isEnded) {
            return;
        }
        execution.isEnded = true;
        execution.cancelTimer();
        const index = this.#queue.indexOf(execution);
        if (index >= 0) {
            this.#queue.splice(index, 1);
        }
        if (execution.hasSlot) {
            this.#running--;
            this.#startNext();
        }
    }
}
