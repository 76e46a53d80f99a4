/** Passes records of roll-outs on to other daemons: news once, and all to a daemon that has connected. */
import { NO_RECORDS } from "../../coordination/rollouts/index.js";
import type { RolloutRecords } from "../../coordination/rollouts/index.js";
import type { SessionMessageOf } from "../../protocol/session/index.js";
import type { Timers } from "../timers/index.js";
import { NEWS_BATCH_MS } from "./RolloutConstants.js";

export type RolloutMessage = SessionMessageOf<"rolloutReports">;

export interface RolloutGossipOptions {
    readonly now: () => number;
    readonly timers: Timers;
    /** Lists the daemons to which records are passed on. */
    listNeighbours(): Iterable<string>;
    /** Lists the daemons with a connection. */
    listConnected(): Iterable<string>;
    send(id: string, message: RolloutMessage): void;
}

interface PendingRecords {
    readonly records: RolloutRecords;
    /** Daemon from which the records came; undefined for own ones. */
    readonly source: string | undefined;
}

export class RolloutGossip {
    readonly #options: RolloutGossipOptions;
    #pending: PendingRecords[] = [];
    #cancelFlush: (() => void) | undefined;

    constructor(options: RolloutGossipOptions) {
        this.#options = options;
    }

    /** Passes records on. Orders and decisions go at once, and to all connected daemons if they are own ones. */
    announce(records: RolloutRecords, source: string | undefined): void {
        const isUrgent = records.orders.length > 0 || records.decisions.length > 0
            || records.reports.some(({ isDrained }) => isDrained);
        this.#pending.push({ records, source });
        if (isUrgent) {
            this.#flush(source === undefined);
        }
        else {
            this.#cancelFlush ??= this.#options.timers.after(NEWS_BATCH_MS, () => this.#flush(false));
        }
    }

    send(id: string, records: RolloutRecords): void {
        this.#options.send(id, this.#encode(records));
    }

    decode({ decisions, orders, reports, versions }: RolloutMessage): RolloutRecords {
        const now = this.#options.now();
        return {
            decisions: decisions.map(({ ageMs, ...decision }) => ({ ...decision, at: now - Math.max(0, ageMs) })),
            orders: orders.map(({ ageMs, ...order }) => ({ ...order, learnedAt: now - Math.max(0, ageMs) })),
            reports,
            versions,
        };
    }

    stop(): void {
        this.#cancelFlush?.();
    }

    #flush(isToAll: boolean): void {
        this.#cancelFlush?.();
        this.#cancelFlush = undefined;
        const pending = this.#pending;
        this.#pending = [];
        for (const id of isToAll ? this.#options.listConnected() : this.#options.listNeighbours()) {
            const sent = pending.filter(({ source }) => source !== id).map(({ records }) => records);
            if (sent.length > 0) {
                this.send(id, sent.reduce(combineRecords, NO_RECORDS));
            }
        }
    }

    #encode({ decisions, orders, reports, versions }: RolloutRecords): RolloutMessage {
        const now = this.#options.now();
        return {
            decisions: decisions.map(({ at, ...decision }) => ({ ...decision, ageMs: now - at })),
            kind: "rolloutReports",
            orders: orders.map(({ learnedAt, ...order }) => ({ ...order, ageMs: now - learnedAt })),
            reports,
            versions,
        };
    }
}

function combineRecords(left: RolloutRecords, right: RolloutRecords): RolloutRecords {
    return {
        decisions: [...left.decisions, ...right.decisions],
        orders: [...left.orders, ...right.orders],
        reports: [...left.reports, ...right.reports],
        versions: [...left.versions, ...right.versions],
    };
}
