/** The store of a simulated mesh: versions, watches and checks, with the faults that single daemons see. */
import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type { Random } from "../../../../state/shared/index.js";
import type {
    ConfigurationReadResult,
    MeshStorePort,
    StoreError,
    StorePosition,
} from "../../../../state/store/index.js";
import type { SimulatedClock } from "./SimulatedClock.js";
import { EventCost } from "./SimulatedProcess.js";
import type { SimulatedProcess } from "./SimulatedProcess.js";

const LATENCY_MS = 2;
/** Time for a call without a wait, and beyond the wait of a watch, as in the store's client. */
const CALL_TIMEOUT_MS = 2_000;
const WATCH_GRACE_MS = 700;
const SILENT: StoreError = { detail: "no answer in time", kind: "unknown" };
const REFUSED: StoreError = { detail: "the store refuses the connection", kind: "unreachable" };

/** What the store is for one daemon at present. */
export interface StoreAccess {
    /** Without answers until then. */
    readonly silentUntil: number;
    readonly refusedUntil: number;
    /** Time that an answer takes besides its usual time. */
    readonly extraMs: number;
    /** Watches that are open then tell nothing; calls are answered. */
    readonly watchesHangUntil: number;
}

interface StoredVersion {
    readonly version: number;
    readonly revision: number;
}

interface WaitingWatch {
    readonly position: StorePosition;
    answer(): void;
}

export class SimulatedStore {
    readonly #clock: SimulatedClock;
    readonly #formatText: (version: number) => string;
    #newest: StoredVersion;
    readonly #era = 1;
    #oldestRevision = 0;
    #calls = 0;
    readonly #watches = new Set<WaitingWatch>();

    constructor(clock: SimulatedClock, firstVersion: number, formatText: (version: number) => string) {
        this.#clock = clock;
        this.#formatText = formatText;
        this.#newest = { revision: 1, version: firstVersion };
    }

    get calls(): number {
        return this.#calls;
    }

    write(version: number): void {
        this.#newest = { revision: this.#newest.revision + 1, version };
        for (const watch of [...this.#watches]) {
            watch.answer();
        }
    }

    /** Forgets the history before the newest version. */
    compact(): void {
        this.#newest = { ...this.#newest, revision: this.#newest.revision + 1 };
        this.#oldestRevision = this.#newest.revision;
    }

    /** Store as one daemon sees it. */
    createPort(process: SimulatedProcess, random: Random, readAccess: () => StoreAccess): MeshStorePort {
        const call = (
            timeoutMs: number,
            serve: (answer: (result: Either<StoreError, ConfigurationReadResult>) => void) => () => void,
        ): Promise<Either<StoreError, ConfigurationReadResult>> => {
            this.#calls++;
            return new Promise(resolve => {
                let stop = (): void => undefined;
                const settle = (result: Either<StoreError, ConfigurationReadResult>): void => {
                    cancelTimeout();
                    stop();
                    resolve(result);
                };
                const cancelTimeout = process.timers.after(timeoutMs, () => settle(Left(SILENT)));
                const delayMs = LATENCY_MS * (0.5 + random());
                if (readAccess().refusedUntil > this.#clock.now) {
                    this.#clock.schedule(this.#clock.now + delayMs, () => process.handle(() => settle(Left(REFUSED))));
                    return;
                }
                this.#clock.schedule(this.#clock.now + delayMs, () => {
                    if (readAccess().silentUntil > this.#clock.now) {
                        return;
                    }
                    stop = serve(result => {
                        this.#clock.schedule(this.#clock.now + delayMs + readAccess().extraMs, () => {
                            if (readAccess().silentUntil <= this.#clock.now) {
                                const hasVersion = result.toMaybe().extract()?.configuration !== undefined;
                                process.handle(() => settle(result), hasVersion ? EventCost.Copy : EventCost.Small);
                            }
                        });
                    });
                });
            });
        };
        return {
            readConfiguration: () =>
                call(CALL_TIMEOUT_MS, answer => {
                    answer(Right(this.#readNewest()));
                    return () => undefined;
                }),
            readEra: () => this.#era,
            watchConfiguration: (position: StorePosition, waitMs: number, timeoutMs = waitMs + WATCH_GRACE_MS) =>
                call(timeoutMs, answer => this.#watch(position, waitMs, readAccess, answer)),
        } as unknown as MeshStorePort;
    }

    #watch(
        position: StorePosition,
        waitMs: number,
        readAccess: () => StoreAccess,
        answer: (result: Either<StoreError, ConfigurationReadResult>) => void,
    ): () => void {
        if (position.era !== this.#era || position.revision < this.#oldestRevision) {
            answer(Left({ detail: "the history is gone", kind: "refused", reason: "history" }));
            return () => undefined;
        }
        if (this.#newest.revision > position.revision) {
            answer(Right(this.#readNewest()));
            return () => undefined;
        }
        const watch: WaitingWatch = {
            answer: () => {
                const isHanging = waitMs > 1 && readAccess().watchesHangUntil > this.#clock.now;
                if (!isHanging) {
                    stop();
                    answer(Right(this.#readNewest()));
                }
            },
            position,
        };
        this.#watches.add(watch);
        const cancel = this.#clock.schedule(this.#clock.now + waitMs, () => {
            stop();
            answer(Right({ configuration: undefined, position }));
        });
        const stop = (): void => {
            this.#watches.delete(watch);
            cancel();
        };
        return stop;
    }

    #readNewest(): ConfigurationReadResult {
        const { revision, version } = this.#newest;
        return {
            configuration: { revision, text: this.#formatText(version), version },
            position: { era: this.#era, revision },
        };
    }
}
