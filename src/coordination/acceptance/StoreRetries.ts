/** Store operations that are retried until their result is known. */
import type { Either } from "purify-ts/Either";
import { Right } from "purify-ts/Either";
import type { PutCondition, StoredObject, StoreError, StoreResult } from "../../state/store/index.js";
import { generateBackoffDelays } from "../retries/index.js";
import type { StoreAccess } from "./AcceptanceTypes.js";
import type { ReadObject } from "./SnapshotLoading.js";

/** Attempts of one operation; the delays below add up to about 3 s on average, without the store's response times. */
const MAXIMUM_ATTEMPTS = 6;

const BASE_DELAY_MS = 200;
const MAXIMUM_DELAY_MS = 3_000;

/** Runs an operation until it returns a result; undefined if no attempt did. Delays between attempts have jitter. */
export async function runWithRetries<Result>(
    { random, sleep }: StoreAccess,
    operation: () => Promise<Result | undefined>,
): Promise<Result | undefined> {
    const delays = generateBackoffDelays(BASE_DELAY_MS, () => MAXIMUM_DELAY_MS, random);
    for (let attempt = 1;; attempt += 1) {
        const result = await operation();
        if (result !== undefined || attempt === MAXIMUM_ATTEMPTS) {
            return result;
        }
        await sleep(delays.next().value);
    }
}

/** Whether the same operation may succeed when it is retried. */
export function isRetryable(error: StoreError): boolean {
    return error.kind !== "refused" || error.reason === "rate";
}

/** Reads an object; retried after a retryable error. */
async function readWithRetries(access: StoreAccess, key: string): StoreResult<StoredObject | undefined> {
    let last: Either<StoreError, StoredObject | undefined> = Right(undefined);
    await runWithRetries(access, async () => {
        last = await access.store.get(key);
        return last.isRight() || !isRetryable(last.extract() as StoreError) ? last : undefined;
    });
    return last;
}

/** Creates a read function that retries after a retryable error. */
export function createRetryingRead(access: StoreAccess): ReadObject {
    return key => readWithRetries(access, key);
}

/** What the store holds under the key of an immutable object. */
type ExistingObject = { readonly kind: "same"; } | { readonly kind: "absent"; } | {
    readonly kind: "other";
    readonly version: number;
};

async function compareExisting(
    access: StoreAccess,
    key: string,
    text: string,
): Promise<Either<StoreError, ExistingObject>> {
    const found = await access.store.get(key);
    return found.map((object): ExistingObject => {
        if (object === undefined) {
            return { kind: "absent" };
        }
        return object.value === text ? { kind: "same" } : { kind: "other", version: object.version };
    });
}

/**
 * Writes an object whose key is the hash of its text. The write is idempotent, so it is retried after
 * a lost answer; a present object with other content is damaged and replaced.
 */
export async function writeImmutable(access: StoreAccess, key: string, text: string): StoreResult<void> {
    let replacedVersion: number | undefined;
    let last: Either<StoreError, void> = Right(undefined);
    await runWithRetries(access, async () => {
        const condition: PutCondition = replacedVersion === undefined
            ? { kind: "absent" }
            : { kind: "version", version: replacedVersion };
        last = (await access.store.put(key, text, condition)).map(() => undefined);
        if (last.isRight()) {
            return last;
        }
        const error = last.extract() as StoreError;
        if (error.kind !== "refused" || error.reason !== "condition") {
            return isRetryable(error) ? undefined : last;
        }
        const existing = (await compareExisting(access, key, text)).orDefault({ kind: "absent" });
        replacedVersion = existing.kind === "other" ? existing.version : undefined;
        last = existing.kind === "same" ? Right(undefined) : last;
        return existing.kind === "same" ? last : undefined;
    });
    return last;
}
