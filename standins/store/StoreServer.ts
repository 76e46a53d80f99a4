/** Stand-in for the platform's store: serves the protocol of docs/store.md from memory. */
import "reflect-metadata";
import { Module } from "@nestjs/common";
import { NestFactory } from "@nestjs/core";
import type { NestFastifyApplication } from "@nestjs/platform-fastify";
import { FastifyAdapter } from "@nestjs/platform-fastify";
import { createSeededRandom } from "../../src/state/shared/index.js";
import { MAXIMUM_VALUE_BYTES } from "../../src/state/store/index.js";
import { FaultsController } from "./FaultsController.js";
import { ObjectsController } from "./ObjectsController.js";
import { ObjectStore } from "./ObjectStore.js";
import type { FaultSwitches, StoreCounters } from "./StoreFaults.js";
import { StoreState } from "./StoreFaults.js";
import { registerStoreHooks } from "./StoreHooks.js";

/** Rates from section 1.4 of the design. */
const DEFAULT_WRITES_PER_SECOND = 500;
const DEFAULT_READS_PER_SECOND = 2_000;

export interface StoreServerOptions {
    /** 0 selects a free port. */
    readonly port: number;
    readonly host?: string;
    readonly writesPerSecond?: number;
    readonly readsPerSecond?: number;
    readonly faults?: Partial<FaultSwitches>;
    /** Seed for the selection of lost answers. */
    readonly seed?: number;
}

export interface StoreServer {
    readonly url: string;
    readCounters(): StoreCounters;
    setFaults(changes: Partial<FaultSwitches>): void;
    /** Closes the server and all connections, including those of pending watches. */
    close(): Promise<void>;
}

function createStoreModule(state: StoreState): object {
    class StoreModule {}
    Module({
        controllers: [ObjectsController, FaultsController],
        providers: [
            { provide: ObjectStore, useValue: new ObjectStore() },
            { provide: StoreState, useValue: state },
        ],
    })(StoreModule);
    return StoreModule;
}

/** Starts the stand-in on loopback. */
export async function startStoreServer(options: StoreServerOptions): Promise<StoreServer> {
    const state = new StoreState(createSeededRandom(options.seed ?? 1));
    state.setFaults(options.faults ?? {});
    // One byte above the limit, so that the handler rejects a value just above it with the protocol's own error.
    const adapter = new FastifyAdapter({ bodyLimit: MAXIMUM_VALUE_BYTES + 1, forceCloseConnections: true });
    const server = adapter.getInstance();
    registerStoreHooks(server, state, {
        readsPerSecond: options.readsPerSecond ?? DEFAULT_READS_PER_SECOND,
        writesPerSecond: options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND,
    });
    server.server.on("connection", socket => state.addConnection(socket));
    const app = await NestFactory.create<NestFastifyApplication>(createStoreModule(state), adapter, {
        logger: ["error"],
    });
    const host = options.host ?? "127.0.0.1";
    await app.listen(options.port, host);
    const address = server.server.address();
    const port = typeof address === "object" ? address?.port : options.port;
    return {
        close: () => app.close(),
        readCounters: () => state.readCounters(),
        setFaults: changes => state.setFaults(changes),
        url: `http://${host}:${port}`,
    };
}
