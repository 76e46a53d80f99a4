/** Delays before calls to the store are repeated, so that all daemons of a mesh together stay within its rate. */
import { generateBackoffDelays } from "../../coordination/retries/index.js";
import { STORE_READ_SPREAD_PER_DAEMON_MS, STORE_RETRY_BASE_MS, STORE_RETRY_MAXIMUM_MS } from "./DirectoryConstants.js";

/** Yields delays in milliseconds; with many daemons they become longer, since all of them may have lost the store. */
export function generateStoreDelays(countDaemons: () => number, random: () => number): Generator<number, never> {
    return generateBackoffDelays(
        STORE_RETRY_BASE_MS,
        () => Math.max(STORE_RETRY_MAXIMUM_MS, countDaemons() * STORE_READ_SPREAD_PER_DAEMON_MS),
        random,
    );
}
