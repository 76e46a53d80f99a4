/** The store of a simulated mesh: versions, watches and checks, with the faults that single daemons see. */
import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type { Member } from "../../../../state/members/index.js";
import type { Random } from "../../../../state/shared/index.js";
import type {
    ConfigurationReadResult,
    MeshStorePort,
    StoreError,
    StorePosition,
} from "../../../../state/store/index.js";
import { scheduleTimeout } from "../../../timers/index.js";
import type { SimulatedClock } from "./SimulatedClock.js";
import { EventCost } from "./SimulatedProcess.js";
import type { SimulatedProcess } from "./SimulatedProcess.js";

const LATENCY_MS = 2;
/** Time for a call without a wait, and beyond the wait of a watch, as in the store's client. */
const CALL_TIMEOUT_MS = 2_000;
const WATCH_GRACE_MS = 700;
/** Size of an answer, of which only that it isn't 0 matters. */
const ANSWER_BYTES = 100;
const SILENT: StoreError = { detail: "no answer in time", kind: "unknown" };
const BUSY: StoreError = { detail: "the store rejects the call for its rate", kind: "refused", reason: "rate" };
const HISTORY_GONE: StoreError = { detail: "the history is gone", kind: "refused", reason: "history" };
const REFUSED: StoreError = { detail: "the store refuses the connection", kind: "unreachable" };

/** What the store is for one daemon at present. */
export interface StoreAccess {
    /** Without answers until then. */
    readonly silentUntil: number;
    readonly refusedUntil: number;
    /** Time that an answer takes besides its usual time. */
    readonly extraMs: number;
    /** Share of the calls that are rejected without effect. */
    readonly busyShare: number;
    /** Share of the answers that are lost after the call took effect. */
    readonly lostShare: number;
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
    /** Ends the watch with the connection, after which the store names another era. */
    end(): void;
}

export class SimulatedStore {
    readonly #clock: SimulatedClock;
    readonly #formatText: (version: number) => string;
    #newest: StoredVersion;
    #era = 1;
    #oldestRevision = 0;
    #calls = 0;
    readonly #watches = new Set<WaitingWatch>();
    readonly #records = new Map<string, Member>();

    constructor(clock: SimulatedClock, firstVersion: number, formatText: (version: number) => string) {
        this.#clock = clock;
        this.#formatText = formatText;
        this.#newest = { revision: 1, version: firstVersion };
    }

    /** Newest version that the store holds. */
    get version(): number {
        return this.#newest.version;
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

    /** Goes back to an older version, without half of the records; open watches end. */
    restore(version: number): void {
        this.#era++;
        this.#newest = { revision: version, version };
        this.#oldestRevision = 0;
        for (const id of [...this.#records.keys()].filter((_id, index) => index % 2 === 0)) {
            this.#records.delete(id);
        }
        for (const watch of [...this.#watches]) {
            watch.end();
        }
    }

    /** Store as one daemon sees it. */
    createPort(process: SimulatedProcess, random: Random, readAccess: () => StoreAccess): MeshStorePort {
        let answeredEra: number | undefined;
        let receivedBytes = 0;
        const call = <T>(
            timeoutMs: number,
            serve: (answer: (result: Either<StoreError, T>) => void) => () => void,
            costMs: (result: Either<StoreError, T>) => number = () => EventCost.Small,
        ): Promise<Either<StoreError, T>> => {
            this.#calls++;
            return new Promise(resolve => {
                let stop = (): void => undefined;
                const settle = (result: Either<StoreError, T>): void => {
                    cancelTimeout();
                    stop();
                    resolve(result);
                };
                const cancelTimeout = scheduleTimeout(process.timers, timeoutMs, () => settle(Left(SILENT)));
                const delayMs = LATENCY_MS * (0.5 + random());
                if (readAccess().refusedUntil > this.#clock.now) {
                    this.#clock.schedule(this.#clock.now + delayMs, () => process.handle(() => settle(Left(REFUSED))));
                    return;
                }
                this.#clock.schedule(this.#clock.now + delayMs, () => {
                    const { busyShare, silentUntil } = readAccess();
                    if (silentUntil > this.#clock.now) {
                        return;
                    }
                    if (busyShare > 0 && random() < busyShare) {
                        this.#clock.schedule(this.#clock.now + delayMs, () => process.handle(() => settle(Left(BUSY))));
                        return;
                    }
                    stop = serve(result => {
                        const era = this.#era;
                        this.#clock.schedule(this.#clock.now + delayMs + readAccess().extraMs, () => {
                            const { lostShare, silentUntil } = readAccess();
                            const isLost = silentUntil > this.#clock.now || lostShare > 0 && random() < lostShare;
                            if (!isLost) {
                                process.handle(() => {
                                    answeredEra = era;
                                    receivedBytes += ANSWER_BYTES;
                                    settle(result);
                                }, costMs(result));
                            }
                        });
                    });
                });
            });
        };
        /** Answers a call at once. */
        const callOnce = <T>(
            run: () => T,
            timeoutMs = CALL_TIMEOUT_MS,
            costMs?: (result: Either<StoreError, T>) => number,
        ): Promise<Either<StoreError, T>> =>
            call(timeoutMs, answer => {
                answer(Right(run()));
                return () => undefined;
            }, costMs);
        return {
            deleteMember: id => callOnce(() => void this.#records.delete(id)),
            listMembers: timeoutMs => callOnce(() => [...this.#records.values()], timeoutMs),
            readConfiguration: () => callOnce(() => this.#readNewest(), CALL_TIMEOUT_MS, computeReadingCost),
            readEra: () => answeredEra,
            readReceivedBytes: () => receivedBytes,
            watchConfiguration: (position: StorePosition, waitMs: number, timeoutMs = waitMs + WATCH_GRACE_MS) =>
                call(
                    timeoutMs,
                    answer => this.#watch(position, waitMs, readAccess, answer),
                    computeReadingCost,
                ),
            writeMember: (member, timeoutMs) => callOnce(() => void this.#records.set(member.id, member), timeoutMs),
        } as Partial<MeshStorePort> as MeshStorePort;
    }

    #watch(
        position: StorePosition,
        waitMs: number,
        readAccess: () => StoreAccess,
        answer: (result: Either<StoreError, ConfigurationReadResult>) => void,
    ): () => void {
        if (position.era !== this.#era || position.revision < this.#oldestRevision) {
            answer(Left(HISTORY_GONE));
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
            end: () => {
                stop();
                answer(Left(HISTORY_GONE));
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

function computeReadingCost(result: Either<StoreError, ConfigurationReadResult>): number {
    return result.toMaybe().extract()?.configuration === undefined ? EventCost.Small : EventCost.Copy;
}
