import type { RecordedAnswer } from "./ClaimPort.js";

/** How an attempt of this process ended. */
export type AttemptEnd =
    | { readonly kind: "done"; readonly answer: RecordedAnswer | undefined; }
    | { readonly kind: "released"; }
    | { readonly kind: "abandoned"; };

/** An attempt of this process, from its grant until its end is recorded in the store. */
export interface LocalAttempt {
    readonly attempt: string;
    /** Resolves when the attempt ends in this process. */
    readonly ended: Promise<AttemptEnd>;
}

/** Attempts of this process by key hash; repeated requests with their keys need no call to the store. */
export class LocalAttempts {
    readonly #attempts = new Map<string, LocalAttempt & { readonly end: (end: AttemptEnd) => void; }>();

    begin(keyHash: string, attempt: string): void {
        let end: (end: AttemptEnd) => void = () => undefined;
        const ended = new Promise<AttemptEnd>(resolve => {
            end = resolve;
        });
        this.#attempts.set(keyHash, { attempt, ended, end });
    }

    get(keyHash: string): LocalAttempt | undefined {
        return this.#attempts.get(keyHash);
    }

    end(keyHash: string, attempt: string, end: AttemptEnd): void {
        const localAttempt = this.#attempts.get(keyHash);
        if (localAttempt?.attempt === attempt) {
            localAttempt.end(end);
        }
        if (end.kind === "released") {
            this.remove(keyHash, attempt);
        }
    }

    /** Removes the attempt; called once the store holds its end. */
    remove(keyHash: string, attempt: string): void {
        if (this.#attempts.get(keyHash)?.attempt === attempt) {
            this.#attempts.delete(keyHash);
        }
    }
}
