/** One health check of the backend server beside the daemon, over a connection of its own. */
import { request } from "node:http";
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import type { RegisteredServer } from "../../coordination/registration/index.js";
import type { Dialect, HealthAnswer } from "../../protocol/dialect/index.js";
import { isFinalStatus } from "../../protocol/framing/index.js";
import { isValidHeaderList } from "../../protocol/request/index.js";
import { realTimers, scheduleTimeout } from "../timers/index.js";
import { HEALTH_CHECK_TIMEOUT_MS } from "./OwnershipConstants.js";

const PATH_PATTERN = /^\/[\x21-\x7e]*$/;

/** Left holds the reason for a missing answer: a timeout, a connection error or a path that can't be requested. */
export function checkHealth(
    dialect: Dialect,
    server: RegisteredServer,
    path: string,
): Promise<Either<string, HealthAnswer>> {
    return new Promise(resolve => {
        if (!PATH_PATTERN.test(path)) {
            resolve(Left(`the health path ${JSON.stringify(path)} is no path of a request`));
            return;
        }
        const call = request({ agent: false, host: server.address, path, port: server.port });
        const cancelTimeout = scheduleTimeout(
            realTimers,
            HEALTH_CHECK_TIMEOUT_MS,
            () => call.destroy(new Error("no answer in time")),
        );
        call.once("close", () => {
            cancelTimeout();
            // Without effect after an answer or an error; Node.js closes without either on a switch of protocols.
            resolve(Left("the connection was closed without an answer"));
        });
        call.once("response", response => {
            // The head holds the whole result, so errors within the body are ignored.
            response.on("error", () => undefined);
            response.resume();
            const status = response.statusCode ?? 0;
            if (!isFinalStatus(status)) {
                resolve(Left(`the answer has the status ${status}`));
                return;
            }
            if (!isValidHeaderList(response.rawHeaders)) {
                resolve(Left("the head of the answer has a malformed header"));
                return;
            }
            resolve(Right(dialect.parseHealthAnswer(status, response.headers)));
        });
        call.on("error", error => resolve(Left(error.message)));
        call.end();
    });
}
