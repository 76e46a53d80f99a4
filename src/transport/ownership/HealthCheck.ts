/** One health check of the backend server beside the daemon, over a connection of its own. */
import { request } from "node:http";
import type { RegisteredServer } from "../../coordination/registration/index.js";
import type { Dialect, HealthStatement } from "../../protocol/dialect/index.js";
import { HEALTH_TIMEOUT_MS } from "./OwnershipConstants.js";

/** Resolves with undefined when the server gives no answer in time or can't be reached. */
export function checkHealth(
    dialect: Dialect,
    server: RegisteredServer,
    path: string,
): Promise<HealthStatement | undefined> {
    return new Promise(resolve => {
        const call = request({
            agent: false,
            host: server.address,
            path,
            port: server.port,
            signal: AbortSignal.timeout(HEALTH_TIMEOUT_MS),
        });
        call.once("response", response => {
            response.on("error", () => undefined);
            response.resume();
            resolve(dialect.readHealth(response.statusCode ?? 0, response.headers));
        });
        call.on("error", () => resolve(undefined));
        call.end();
    });
}
