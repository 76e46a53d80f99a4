/** The first run's answer, kept so that a repetition of the key gets the same one. */
export interface RecordedAnswer {
    readonly status: number;
    readonly headers: readonly (readonly [name: string, value: string])[];
    readonly body: Uint8Array;
}

/** Result of claiming an idempotency key before a request is executed. */
export type ClaimOutcome =
    /** The caller of `claim` may execute the request once, under this attempt. */
    | { readonly kind: "granted"; readonly attempt: string; }
    /** The request ran before and its answer is still held. */
    | { readonly kind: "answered"; readonly answer: RecordedAnswer; }
    /** The request ran before; its answer is no longer held. */
    | { readonly kind: "already-ran"; }
    /** Another attempt claimed the key and its end cannot be known. */
    | { readonly kind: "unknown"; readonly detail: string; }
    /** The key was not granted: nothing ran under this call and nothing ever will. */
    | { readonly kind: "refused"; readonly detail: string; };

/** Claims idempotency keys so that a non-repeatable request runs at most once in the mesh. */
export interface ClaimPort {
    /** `deadline` is a time in milliseconds; a run of the same key in progress is awaited until then. */
    claim(service: string, key: string, deadline: number, signal?: AbortSignal): Promise<ClaimOutcome>;
    /**
     * Records that the attempt ran; `answer` is undefined when it is too large to keep or was cut.
     * Like `release` and `abandon` it resolves when the store holds the record, or after a second
     * at most; the record is then written as soon as the store answers.
     */
    complete(service: string, key: string, attempt: string, answer: RecordedAnswer | undefined): Promise<void>;
    /** Gives the key back; only when the request provably was not run. */
    release(service: string, key: string, attempt: string): Promise<void>;
    /** Records that the attempt's end cannot be known; waiting repetitions are told so. */
    abandon(service: string, key: string, attempt: string): Promise<void>;
}
