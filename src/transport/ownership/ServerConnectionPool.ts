/** Connections of an owner to its backend server: one request at a time on each, the most recently used first. */
import { findAnsweredRequest } from "../../protocol/answers/index.js";
import type { Dialect } from "../../protocol/dialect/index.js";
import type { CostlyReads } from "../input/index.js";
import { IDLE_TIMEOUT_MARGIN_MS, MAXIMUM_FRESH_IDLE_MS, MAXIMUM_IDLE_MS } from "./OwnershipConstants.js";
import type { SecondAnswerMonitor } from "./SecondAnswers.js";
import { ServerConnection } from "./ServerConnection.js";

export interface ServerConnectionPoolOptions {
    readonly dialect: Dialect;
    readonly now: () => number;
    readonly costlyReads: CostlyReads;
    readonly secondAnswers: SecondAnswerMonitor;
}

export class ServerConnectionPool {
    readonly #options: ServerConnectionPoolOptions;
    readonly #now: () => number;
    /** A new object for each server, so that connections to an earlier one are known. */
    #target: { readonly address: string; readonly port: number; } | undefined;
    #idle: ServerConnection[] = [];
    readonly #open = new Set<ServerConnection>();

    constructor(options: ServerConnectionPoolOptions) {
        this.#options = options;
        this.#now = options.now;
    }

    /** Open connections, including idle ones. */
    get size(): number {
        return this.#open.size;
    }

    /**
     * Sets the address of the server. `isOther` tells that it isn't the one before, whose connections are closed at once or
     * when their requests have ended; so are those to another address.
     */
    setTarget(address: string, port: number, isOther = false): void {
        if (isOther || this.#target?.address !== address || this.#target.port !== port) {
            this.#target = { address, port };
            const idle = this.#idle;
            this.#idle = [];
            for (const connection of idle) {
                connection.destroy();
            }
        }
    }

    /**
     * Returns an idle or new connection that hasn't carried the request's id before: a late answer to the earlier request
     * would look like the answer to this one. `isFresh` excludes idle ones that the server may have closed meanwhile.
     */
    acquire(requestId: string, isFresh: boolean): ServerConnection | undefined {
        const now = this.#now();
        this.#closeExpired(now);
        const index = this.#idle.findLastIndex(connection => !connection.hasSent(requestId));
        if (index < this.#idle.length - 1) {
            this.#options.secondAnswers.recordRepeat(requestId, now);
        }
        const last = this.#idle[index];
        if (last !== undefined && (!isFresh || now - last.idleSince <= MAXIMUM_FRESH_IDLE_MS)) {
            this.#idle.splice(index, 1);
            return last;
        }
        const target = this.#target;
        if (target === undefined) {
            return undefined;
        }
        // Takes the place of one that the request can't use, so that repeats don't add to the server's connections.
        const replaced = index < 0 ? this.#idle.shift() : undefined;
        const { costlyReads, dialect, secondAnswers } = this.#options;
        const connection = new ServerConnection({
            ...target,
            costlyReads,
            dialect,
            now: this.#now,
            onClose: closed => {
                this.#open.delete(closed);
                this.#idle = this.#idle.filter(other => other !== closed);
            },
            onDropped: (head, moment, waitingId) => {
                const requestId = head === undefined
                    ? undefined
                    : findAnsweredRequest({ headers: head.headers, status: head.statusCode }, dialect);
                secondAnswers.recordDropped({ moment, requestId, status: head?.statusCode, waitingId }, this.#now());
            },
            onIdle: free => {
                if (this.#target !== target) {
                    free.destroy();
                    return;
                }
                free.markIdle(this.#now());
                this.#idle.push(free);
            },
            scheduleConnect: connect => replaced === undefined ? connect() : replaced.closeInOrder(connect),
        });
        this.#open.add(connection);
        return connection;
    }

    closeAll(): void {
        for (const connection of this.#open) {
            connection.destroy();
        }
        this.#idle = [];
    }

    #closeExpired(now: number): void {
        const isExpired = (connection: ServerConnection): boolean =>
            now - connection.idleSince > Math.min(MAXIMUM_IDLE_MS, connection.idleTimeoutMs - IDLE_TIMEOUT_MARGIN_MS);
        for (const connection of this.#idle.filter(isExpired)) {
            connection.destroy();
        }
        this.#idle = this.#idle.filter(connection => !connection.isClosed && !isExpired(connection));
    }
}
