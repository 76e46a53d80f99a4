import type { KeptAnswer } from "./ClaimPort.js";

/** How an attempt of this process ended. */
export type RunEnd =
    | { readonly kind: "done"; readonly answer: KeptAnswer | undefined; }
    | { readonly kind: "released"; }
    | { readonly kind: "abandoned"; };

/** An attempt of this process, from its grant until its end is recorded in the store. */
export interface LocalRun {
    readonly attempt: string;
    /** Resolves when the attempt ends in this process. */
    readonly ended: Promise<RunEnd>;
}

/** Attempts of this process by key hash; repetitions of their keys need no answer from the store. */
export class LocalRuns {
    readonly #runs = new Map<string, LocalRun & { readonly end: (end: RunEnd) => void; }>();

    begin(keyHash: string, attempt: string): void {
        let end: (end: RunEnd) => void = () => undefined;
        const ended = new Promise<RunEnd>(resolve => {
            end = resolve;
        });
        this.#runs.set(keyHash, { attempt, ended, end });
    }

    get(keyHash: string): LocalRun | undefined {
        return this.#runs.get(keyHash);
    }

    end(keyHash: string, attempt: string, end: RunEnd): void {
        const run = this.#runs.get(keyHash);
        if (run?.attempt === attempt) {
            run.end(end);
        }
        if (end.kind === "released") {
            this.remove(keyHash, attempt);
        }
    }

    /** Forgets the attempt once the store holds its end. */
    remove(keyHash: string, attempt: string): void {
        if (this.#runs.get(keyHash)?.attempt === attempt) {
            this.#runs.delete(keyHash);
        }
    }
}
