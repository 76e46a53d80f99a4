import { Pool } from "undici";
import { HEADER_MAXIMUM_BYTES, POOL_IDLE_TIMEOUT_MS, SERVER_IDLE_TIMEOUT_MS } from "./ProxyConstants.js";

/** Endpoint and connection settings of a pool. */
export interface PoolTarget {
    readonly address: string;
    readonly port: number;
    readonly connections: number;
    readonly connectTimeoutMs: number;
    /** Targets with different purposes don't share connections. */
    readonly purpose: PoolPurpose;
}

/** Lease renewals have connections of their own, so that they never queue behind relayed requests. */
export type PoolPurpose = "server" | "relay" | "leases";

interface PoolEntry {
    readonly pool: Pool;
    readonly connections: number;
    lastUsedAt: number;
}

/** Connection pools by purpose, address and port; requests are not pipelined. */
export class ConnectionPools {
    readonly #pools = new Map<string, PoolEntry>();

    get(target: PoolTarget, now: number): Pool {
        const key = `${target.purpose} ${target.address}:${target.port}`;
        let pooled = this.#pools.get(key);
        if (pooled !== undefined && pooled.connections !== target.connections) {
            this.#pools.delete(key);
            void pooled.pool.close();
            pooled = undefined;
        }
        if (pooled === undefined) {
            pooled = { pool: createPool(target), connections: target.connections, lastUsedAt: now };
            this.#pools.set(key, pooled);
        }
        pooled.lastUsedAt = now;
        return pooled.pool;
    }

    /** Closes the pools that had no request for `POOL_IDLE_MS`. */
    closeIdlePools(now: number): void {
        for (const [key, pooled] of this.#pools) {
            if (now - pooled.lastUsedAt > POOL_IDLE_TIMEOUT_MS && pooled.pool.stats.running === 0) {
                this.#pools.delete(key);
                void pooled.pool.close();
            }
        }
    }

    async stop(): Promise<void> {
        const pools = [...this.#pools.values()];
        this.#pools.clear();
        await Promise.all(pools.map(({ pool }) => pool.destroy()));
    }
}

function createPool(target: PoolTarget): Pool {
    const host = target.address.includes(":") ? `[${target.address}]` : target.address;
    return new Pool(`http://${host}:${target.port}`, {
        connections: target.connections,
        connect: { timeout: target.connectTimeoutMs },
        pipelining: 1,
        keepAliveTimeout: SERVER_IDLE_TIMEOUT_MS,
        // A server's Keep-Alive header must not extend the timeout: idle connections would outlive their slot leases.
        keepAliveMaxTimeout: SERVER_IDLE_TIMEOUT_MS,
        // DeadlineQueue enforces a deadline for the whole request instead.
        headersTimeout: 0,
        bodyTimeout: 0,
        maxHeaderSize: HEADER_MAXIMUM_BYTES,
    });
}
