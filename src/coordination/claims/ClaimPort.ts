/** Answer of the first execution, recorded so that repeated requests with the key get the same one. */
export interface RecordedAnswer {
    readonly status: number;
    readonly headers: readonly (readonly [name: string, value: string])[];
    readonly body: Uint8Array;
}

/** Result of claiming an idempotency key before a request is executed. */
export type ClaimOutcome =
    /** The caller of `claim` may execute the request once, under this attempt. */
    | { readonly kind: "granted"; readonly attempt: string; }
    /** The request ran before and its answer is available. */
    | { readonly kind: "answered"; readonly answer: RecordedAnswer; }
    /** The request ran before; its answer is not available. */
    | { readonly kind: "already-ran"; }
    /** Another attempt claimed the key and its outcome cannot be determined. */
    | { readonly kind: "unknown"; readonly detail: string; }
    /** The key was not granted: nothing ran under this call and nothing ever will. */
    | { readonly kind: "refused"; readonly detail: string; };

/** Claims idempotency keys so that a non-repeatable request runs at most once in the mesh. */
export interface ClaimPort {
    /** `deadline` is a time in milliseconds; an attempt of the same key in progress is awaited until then. */
    claim(service: string, key: string, deadline: number, signal?: AbortSignal): Promise<ClaimOutcome>;
    /**
     * Records that the attempt ran; `answer` is undefined when it is too large to store or incomplete.
     * Like `release` and `abandon` it resolves when the store holds the record, or after one second;
     * the record is then written as soon as the store answers.
     */
    complete(service: string, key: string, attempt: string, answer: RecordedAnswer | undefined): Promise<void>;
    /** Releases the key; allowed only when the request provably did not run. */
    release(service: string, key: string, attempt: string): Promise<void>;
    /** Records that the attempt's outcome cannot be determined; waiting requests with the key get `unknown`. */
    abandon(service: string, key: string, attempt: string): Promise<void>;
}
