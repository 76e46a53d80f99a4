/**
 * Keeps requests that crash servers from running. Records the crashes of the own server, exchanges records with the
 * other daemons, and answers whether a request may run.
 */
import {
    CrashLedger,
    MAXIMUM_CRASHES,
    MAXIMUM_SUSPECTS_PER_CRASH,
    MAXIMUM_VERDICTS,
    QUARANTINE_RETENTION_MS,
    VerdictKind,
} from "../../coordination/quarantine/index.js";
import type { Crash, CrashRecords, Verdict } from "../../coordination/quarantine/index.js";
import {
    computeFingerprint,
    computeFingerprintPrefix,
    getFingerprintPrefix,
    RefusalReason,
} from "../../protocol/request/index.js";
import type { FingerprintSource } from "../../protocol/request/index.js";
import type { SessionMessageOf } from "../../protocol/session/index.js";
import type { PartLogger } from "../logging/index.js";
import type { OwnerRefusal, RunningRequest } from "../ownership/index.js";

export type CrashMessage = SessionMessageOf<"crashes">;

/** What is known of a request that was running when servers crashed, and was not answered since. */
export interface Suspicion {
    readonly fingerprint: string;
    /** Whether it may run at one server only, which all daemons select by the fingerprint. */
    readonly isOnTrial: boolean;
}

export interface QuarantineManagerOptions {
    readonly selfId: string;
    readonly log: PartLogger;
    readonly now: () => number;
    /** Writes a quarantine to where it outlasts all daemons. */
    writeQuarantine(verdict: Verdict): void;
    deleteQuarantine(fingerprint: string): void;
    /** Lists the daemons to which records of others are passed on. */
    listNeighbours(): Iterable<string>;
    /** Lists the daemons with a connection. */
    listConnected(): Iterable<string>;
    send(id: string, message: CrashMessage): void;
}

/** Interval at which records are checked for their retention. */
const EXPIRY_CHECK_INTERVAL_MS = 10_000;
/** Time in which clearances are gathered before they are sent; after a crash there are many at once. */
const CLEARANCE_BATCH_DELAY_MS = 200;

interface PendingRecords {
    readonly records: CrashRecords;
    /** Daemon from which the records came; undefined for own ones, which go to all connected daemons. */
    readonly source: string | undefined;
}

export class QuarantineManager {
    readonly #options: QuarantineManagerOptions;
    readonly #ledger = new CrashLedger();
    /** Begins the names of the crashes of the own server. */
    readonly #ownPrefix: string;
    /** Prefixes of the fingerprints that the ledger knows. */
    #prefixes: ReadonlySet<string> = new Set();
    #pending: PendingRecords[] = [];
    #batchTimer: NodeJS.Timeout | undefined;
    #expiryTimer: NodeJS.Timeout | undefined;

    constructor(options: QuarantineManagerOptions) {
        this.#options = options;
        this.#ownPrefix = `${options.selfId}/`;
    }

    get suspectCount(): number {
        return this.#ledger.suspectCount;
    }

    start(): void {
        this.#expiryTimer = setInterval(() => {
            this.#ledger.removeExpired(this.#options.now());
            this.#updatePrefixes();
        }, EXPIRY_CHECK_INTERVAL_MS);
    }

    stop(): void {
        clearInterval(this.#expiryTimer);
        clearTimeout(this.#batchTimer);
    }

    /** Returns why a request must not run now; undefined when it may. */
    findRestriction(request: FingerprintSource): OwnerRefusal | undefined {
        const fingerprint = this.#findFingerprint(request);
        if (fingerprint === undefined) {
            return undefined;
        }
        const now = this.#options.now();
        const quarantine = this.#ledger.findQuarantine(fingerprint, now);
        if (quarantine !== undefined) {
            return {
                detail:
                    `request ${fingerprint} is quarantined: ${quarantine.crashIds.length} servers have ended under it`,
                reason: RefusalReason.Quarantined,
                retryAfterMs: quarantine.at + QUARANTINE_RETENTION_MS - now,
            };
        }
        const holdMs = this.#ledger.findHoldMs(fingerprint, now);
        return holdMs === undefined
            ? undefined
            : {
                detail: `request ${fingerprint} waits: ${
                    this.#ledger.countCrashes(fingerprint)
                } servers have ended under it`,
                reason: RefusalReason.Suspected,
                retryAfterMs: holdMs,
            };
    }

    /** Returns what is known of a request that was running when servers crashed; undefined for all others. */
    findSuspicion(request: FingerprintSource): Suspicion | undefined {
        const fingerprint = this.#findFingerprint(request);
        return fingerprint !== undefined && this.#ledger.isSuspect(fingerprint)
            ? { fingerprint, isOnTrial: this.#ledger.isOnTrial(fingerprint) }
            : undefined;
    }

    listQuarantines(): readonly Verdict[] {
        return this.#ledger.listQuarantines(this.#options.now());
    }

    /** Records that one start of the own server has crashed, and tells the other daemons. */
    recordCrash(serverStart: string, running: readonly RunningRequest[], crashedAt: number): void {
        const id = this.#ownPrefix + serverStart;
        const found = running.map(({ ranMs, request }) => ({
            fingerprint: computeFingerprint(request),
            ranMs,
            request,
        }));
        this.#options.log.warn(`server ${id} has ended with ${running.length} requests running.`, {
            requests: found.slice(0, MAXIMUM_SUSPECTS_PER_CRASH).map((
                { fingerprint, ranMs, request: { method, requestId, route, target } },
            ) => ({
                earlierCrashes: this.#ledger.countCrashes(fingerprint),
                fingerprint,
                method,
                ranMs: Math.round(ranMs),
                requestId,
                route,
                target,
            })),
            server: id,
        });
        const suspects = this.#ledger.limitSuspects(found.map(({ fingerprint, ranMs }) => ({ fingerprint, ranMs })));
        this.#apply({ crashes: [{ at: crashedAt, id, running: running.length, suspects }], verdicts: [] }, undefined);
    }

    /** Clears a request that was answered completely, if it is a suspect. */
    recordCompletion(request: FingerprintSource): void {
        const fingerprint = this.#findFingerprint(request);
        if (fingerprint !== undefined) {
            this.#clear(fingerprint, "a server has answered it");
        }
    }

    /** Lets a quarantined request run again, by an operator's order; false when it is not known. */
    release(fingerprint: string): boolean {
        return this.#clear(fingerprint, "an operator has released it");
    }

    /** Restores a quarantine that was written before a restart. */
    restore(fingerprint: string, crashIds: readonly string[], at: number): void {
        const verdict = { at, crashIds, fingerprint, kind: VerdictKind.Quarantined, revision: 1 };
        this.#apply({ crashes: [], verdicts: [verdict] }, this.#options.selfId);
    }

    /** Sends all records to a daemon that has connected, which may have restarted or been cut off. */
    sendAll(id: string): void {
        if (!this.#ledger.isEmpty) {
            this.#options.send(id, this.#encode(this.#ledger.listRecords()));
        }
    }

    /** Applies records of another daemon and passes on those that are new. */
    handle(id: string, { crashes, verdicts }: CrashMessage): void {
        const now = this.#options.now();
        const received = {
            crashes: crashes.map(({ ageMs, ...crash }) => ({ ...crash, at: now - Math.max(0, ageMs) })),
            verdicts: verdicts.map(({ ageMs, ...verdict }) => ({ ...verdict, at: now - Math.max(0, ageMs) })),
        };
        this.#apply(received, id);
    }

    #clear(fingerprint: string, cause: string): boolean {
        const now = this.#options.now();
        const clearance = this.#ledger.buildClearance(fingerprint, now);
        if (clearance === undefined) {
            return false;
        }
        if (this.#ledger.findQuarantine(fingerprint, now) !== undefined) {
            this.#options.deleteQuarantine(fingerprint);
        }
        this.#options.log.info(`request ${fingerprint} is cleared: ${cause}.`, {
            crashes: this.#ledger.countCrashes(fingerprint),
            fingerprint,
        });
        this.#apply({ crashes: [], verdicts: [clearance] }, undefined);
        return true;
    }

    /** Merges records and passes on those that are new: clearances after a while, all others at once. */
    #apply(records: CrashRecords, source: string | undefined): void {
        const added = this.#ledger.merge(records, this.#options.now());
        if (added.crashes.length === 0 && added.verdicts.length === 0) {
            return;
        }
        this.#updatePrefixes();
        const quarantines = added.verdicts.filter(({ kind }) => kind === VerdictKind.Quarantined);
        for (const quarantine of quarantines) {
            const { crashIds, fingerprint } = quarantine;
            this.#options.log.warn(
                `request ${fingerprint} is quarantined: ${crashIds.length} servers have ended under it.`,
                { fingerprint, servers: crashIds },
            );
            // One of the daemons that come to the same verdict writes it.
            if ([...crashIds].sort().at(-1)?.startsWith(this.#ownPrefix) === true) {
                this.#options.writeQuarantine(quarantine);
            }
        }
        this.#pending.push({ records: added, source });
        if (added.crashes.length > 0 || quarantines.length > 0) {
            this.#flush();
        }
        else {
            this.#batchTimer ??= setTimeout(() => this.#flush(), CLEARANCE_BATCH_DELAY_MS);
        }
    }

    #flush(): void {
        clearTimeout(this.#batchTimer);
        this.#batchTimer = undefined;
        const pending = this.#pending;
        this.#pending = [];
        const neighbours = new Set(this.#options.listNeighbours());
        for (const id of this.#options.listConnected()) {
            const sent = pending.filter(({ source }) => source === undefined || source !== id && neighbours.has(id));
            if (sent.length > 0) {
                this.#options.send(
                    id,
                    this.#encode({
                        crashes: sent.flatMap(({ records }) => records.crashes),
                        verdicts: sent.flatMap(({ records }) => records.verdicts),
                    }),
                );
            }
        }
    }

    #encode({ crashes, verdicts }: CrashRecords): CrashMessage {
        const now = this.#options.now();
        return {
            crashes: crashes.slice(-MAXIMUM_CRASHES).map(({ at, ...crash }: Crash) => ({ ...crash, ageMs: now - at })),
            kind: "crashes",
            verdicts: verdicts.slice(-MAXIMUM_VERDICTS)
                .map(({ at, ...verdict }: Verdict) => ({ ...verdict, ageMs: now - at })),
        };
    }

    /** Computes the fingerprint of a request if its prefix is known. */
    #findFingerprint(request: FingerprintSource): string | undefined {
        return this.#prefixes.size > 0 && this.#prefixes.has(computeFingerprintPrefix(request))
            ? computeFingerprint(request)
            : undefined;
    }

    #updatePrefixes(): void {
        this.#prefixes = new Set([...this.#ledger.listFingerprints()].map(getFingerprintPrefix));
    }
}
