import type { Either } from "purify-ts/Either";

/** Version of one object, assigned by the store; increases with each write of that object. */
export type ObjectVersion = number;

/** An object read from the store. `value` is UTF-8 text, at most 1 MB. */
export interface StoredObject {
    readonly key: string;
    readonly value: string;
    readonly version: ObjectVersion;
}

/** One entry of a listing, without its value. */
export interface ListedObject {
    readonly key: string;
    readonly version: ObjectVersion;
}

/** Condition of a write: the object is absent, or has exactly this version. */
export type PutCondition =
    | { readonly kind: "absent"; }
    | { readonly kind: "version"; readonly version: ObjectVersion; };

/**
 * The store refused the request without effect. `condition` means that another write came first,
 * `history` that a watch starts before the oldest change that the store retains.
 */
export interface StoreRefused {
    readonly kind: "refused";
    readonly reason: "condition" | "rate" | "too-large" | "invalid" | "history";
    readonly detail: string;
}

/** The request did not reach the store and had no effect. */
export interface StoreUnreachable {
    readonly kind: "unreachable";
    readonly detail: string;
}

/** The request was sent but not answered; a write may or may not have taken effect. */
export interface StoreOutcomeUnknown {
    readonly kind: "unknown";
    readonly detail: string;
}

export type StoreError = StoreRefused | StoreUnreachable | StoreOutcomeUnknown;

export type StoreResult<T> = Promise<Either<StoreError, T>>;

/** The platform's store as this project uses it. No method rejects; failures are `Left`. */
export interface StorePort {
    get(key: string, signal?: AbortSignal): StoreResult<StoredObject | undefined>;
    put(key: string, value: string, condition: PutCondition, signal?: AbortSignal): StoreResult<ObjectVersion>;
    /** Deletes the object if it has `version`; succeeds if the object is absent. */
    delete(key: string, version: ObjectVersion, signal?: AbortSignal): StoreResult<void>;
    list(prefix: string, signal?: AbortSignal): StoreResult<readonly ListedObject[]>;
    /** Waits at most `waitMs` for a version of `key` above `after`; `undefined` if there was none. */
    watch(
        key: string,
        after: ObjectVersion,
        waitMs: number,
        signal?: AbortSignal,
    ): StoreResult<StoredObject | undefined>;
}
