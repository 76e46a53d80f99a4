/** Connections of an owner to its backend server: one request at a time on each, the most recently used first. */
import type { Dialect } from "../../protocol/dialect/index.js";
import type { CostlyReads } from "../input/index.js";
import { IDLE_TIMEOUT_MARGIN_MS, MAXIMUM_FRESH_IDLE_MS, MAXIMUM_IDLE_MS } from "./OwnershipConstants.js";
import { ServerConnection } from "./ServerConnection.js";

export class ServerConnectionPool {
    readonly #dialect: Dialect;
    readonly #now: () => number;
    #target: { readonly address: string; readonly port: number; } | undefined;
    #idle: ServerConnection[] = [];
    readonly #open = new Set<ServerConnection>();
    readonly #costlyReads: CostlyReads;

    constructor(dialect: Dialect, now: () => number, costlyReads: CostlyReads) {
        this.#dialect = dialect;
        this.#now = now;
        this.#costlyReads = costlyReads;
    }

    /** Open connections, including idle ones. */
    get size(): number {
        return this.#open.size;
    }

    /** Sets the server's address; idle connections to another one are closed. */
    setTarget(address: string, port: number): void {
        if (this.#target?.address !== address || this.#target.port !== port) {
            this.#target = { address, port };
            this.closeIdle();
        }
    }

    /**
     * Returns an idle or new connection for a request. `isFresh` excludes idle ones that the server may have closed
     * meanwhile.
     */
    acquire(requestId: string, isFresh: boolean): ServerConnection | undefined {
        const now = this.#now();
        this.#closeExpired(now);
        const index = this.#idle.findLastIndex(connection => !connection.hasDeclined(requestId));
        const last = this.#idle[index];
        if (last !== undefined && (!isFresh || now - last.idleSince <= MAXIMUM_FRESH_IDLE_MS)) {
            this.#idle.splice(index, 1);
            return last;
        }
        if (this.#target === undefined) {
            return undefined;
        }
        const connection = new ServerConnection(
            this.#target.address,
            this.#target.port,
            this.#dialect,
            this.#now,
            this.#costlyReads,
            free => {
                free.markIdle(this.#now());
                this.#idle.push(free);
            },
            closed => {
                this.#open.delete(closed);
                this.#idle = this.#idle.filter(other => other !== closed);
            },
        );
        this.#open.add(connection);
        return connection;
    }

    closeIdle(): void {
        const idle = this.#idle;
        this.#idle = [];
        for (const connection of idle) {
            connection.destroy();
        }
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
