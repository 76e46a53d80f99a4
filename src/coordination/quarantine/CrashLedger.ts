/**
 * Decides which requests crash the servers that run them, from the crashes of all servers of the mesh.
 *
 * Each request that ran at a server when it crashed is a suspect, and the first complete answer to it, from any server,
 * clears it. A further crash counts only if the request started there after the first one. After two crashes without a complete answer in between it is held back until the crashed servers are likely
 * to be back, and then runs at one server only, which is the same for all daemons. After three it is quarantined, if it is a likelier cause of the last one than all other requests that ran
 * there together. Records are merged in any order, and each daemon comes to the same verdicts.
 */
import {
    CRASH_RETENTION_MS,
    HOLD_CRASHES,
    HOLD_MS,
    MAXIMUM_COUNTED_CRASHES,
    MAXIMUM_CRASHES,
    MAXIMUM_SUSPECTS_PER_CRASH,
    MAXIMUM_VERDICTS,
    QUARANTINE_CRASHES,
    QUARANTINE_PROBABILITY,
    QUARANTINE_RETENTION_MS,
    SUSPICION_PER_CRASH,
} from "./QuarantineConstants.js";

/** A request that was running at a server when it crashed. */
export interface Suspect {
    readonly fingerprint: string;
    /** Time for which it had been running. */
    readonly ranMs: number;
}

/** The end of one start of a server, with the requests that it was running. */
export interface Crash {
    /** Names the server and its start, which ends once only. */
    readonly id: string;
    /** Time of this daemon's clock, in milliseconds. */
    readonly at: number;
    /** Number of requests that were running, those that are not listed here included. */
    readonly running: number;
    readonly suspects: readonly Suspect[];
}

export const VerdictKind = {
    /** The request runs nowhere. */
    Quarantined: "quarantined",
    /** Crashes before this time don't count against the request. */
    Cleared: "cleared",
} as const;
export type VerdictKind = (typeof VerdictKind)[keyof typeof VerdictKind];

export interface Verdict {
    readonly fingerprint: string;
    readonly kind: VerdictKind;
    /** Higher than that of each verdict on the request that its author knew; the highest one holds. */
    readonly revision: number;
    /** Time of this daemon's clock, in milliseconds. */
    readonly at: number;
    /** Crashes for which the request was quarantined. */
    readonly crashIds: readonly string[];
}

/** What one daemon tells another one. */
export interface CrashRecords {
    readonly crashes: readonly Crash[];
    readonly verdicts: readonly Verdict[];
}

export class CrashLedger {
    #crashes: ReadonlyMap<string, Crash> = new Map();
    #verdicts: ReadonlyMap<string, Verdict> = new Map();
    /** Crashes that count against each fingerprint, in their order. */
    #suspects: ReadonlyMap<string, readonly Crash[]> = new Map();

    get isEmpty(): boolean {
        return this.#crashes.size === 0 && this.#verdicts.size === 0;
    }

    /** Number of fingerprints that are suspects, quarantined ones included. */
    get suspectCount(): number {
        return this.#suspects.size;
    }

    isSuspect(fingerprint: string): boolean {
        return this.#suspects.has(fingerprint);
    }

    countCrashes(fingerprint: string): number {
        return this.#suspects.get(fingerprint)?.length ?? 0;
    }

    /** Returns the verdict by which a request is quarantined; undefined when it may run. */
    findQuarantine(fingerprint: string, now: number): Verdict | undefined {
        const verdict = this.#verdicts.get(fingerprint);
        return verdict?.kind === VerdictKind.Quarantined && now - verdict.at < QUARANTINE_RETENTION_MS
            ? verdict
            : undefined;
    }

    /** Returns the time for which a suspect of several crashes is still held back; undefined when it may run. */
    findHoldMs(fingerprint: string, now: number): number | undefined {
        const crashes = this.#suspects.get(fingerprint) ?? [];
        if (crashes.length < HOLD_CRASHES) {
            return undefined;
        }
        const leftMs = Math.max(...crashes.map(({ at }) => at)) + HOLD_MS - now;
        return leftMs > 0 ? leftMs : undefined;
    }

    /** Whether a request may run at one server only, to find out whether it crashes that as well. */
    isOnTrial(fingerprint: string): boolean {
        return this.countCrashes(fingerprint) >= HOLD_CRASHES;
    }

    listFingerprints(): Iterable<string> {
        return new Set([...this.#suspects.keys(), ...this.#verdicts.keys()]);
    }

    listQuarantines(now: number): readonly Verdict[] {
        return [...this.#verdicts.values()].filter(({ fingerprint }) => this.findQuarantine(fingerprint, now));
    }

    listRecords(): CrashRecords {
        return { crashes: [...this.#crashes.values()], verdicts: [...this.#verdicts.values()] };
    }

    /**
     * Lists the requests of a crash that matter most, each once with its last start: those of most crashes, then those that
     * started last.
     */
    limitSuspects(running: readonly Suspect[]): readonly Suspect[] {
        const latest = new Map<string, Suspect>();
        for (const suspect of running) {
            const known = latest.get(suspect.fingerprint);
            if (known === undefined || suspect.ranMs < known.ranMs) {
                latest.set(suspect.fingerprint, suspect);
            }
        }
        return [...latest.values()]
            .map(suspect => ({ crashes: this.countCrashes(suspect.fingerprint), suspect }))
            .sort((left, right) => right.crashes - left.crashes || left.suspect.ranMs - right.suspect.ranMs)
            .slice(0, MAXIMUM_SUSPECTS_PER_CRASH)
            .map(({ suspect }) => suspect);
    }

    /** Builds the verdict that crashes until now don't count against a request; undefined when none does. */
    buildClearance(fingerprint: string, now: number): Verdict | undefined {
        const isKnown = this.isSuspect(fingerprint) || this.findQuarantine(fingerprint, now) !== undefined;
        return isKnown
            ? {
                at: now,
                crashIds: [],
                fingerprint,
                kind: VerdictKind.Cleared,
                revision: this.#getNextRevision(fingerprint),
            }
            : undefined;
    }

    /** Merges records; returns those that were new, and the quarantines that follow from them. */
    merge({ crashes, verdicts }: CrashRecords, now: number): CrashRecords {
        const newVerdicts = verdicts.filter(verdict => this.#isNewVerdict(verdict, now));
        const newCrashes = crashes.filter(({ at, id }) => !this.#crashes.has(id) && now - at < CRASH_RETENTION_MS);
        if (newVerdicts.length === 0 && newCrashes.length === 0) {
            return { crashes: [], verdicts: [] };
        }
        this.#commit(newCrashes, newVerdicts, now);
        const quarantines = newCrashes.flatMap(crash => this.#findQuarantines(crash, now));
        if (quarantines.length > 0) {
            this.#commit([], quarantines, now);
        }
        return { crashes: newCrashes, verdicts: [...newVerdicts, ...quarantines] };
    }

    /** Drops what is older than its retention. */
    removeExpired(now: number): void {
        this.#commit([], [], now);
    }

    #isNewVerdict({ at, fingerprint, kind, revision }: Verdict, now: number): boolean {
        const known = this.#verdicts.get(fingerprint);
        if (now - at >= getRetentionMs(kind)) {
            return false;
        }
        // Times differ by the delay of messages, so they don't order verdicts.
        return known === undefined || revision > known.revision
            || revision === known.revision && kind === VerdictKind.Quarantined && known.kind === VerdictKind.Cleared;
    }

    #getNextRevision(fingerprint: string): number {
        return (this.#verdicts.get(fingerprint)?.revision ?? 0) + 1;
    }

    /** Lists the verdicts that a new crash leads to. */
    #findQuarantines({ at, running, suspects }: Crash, now: number): readonly Verdict[] {
        const counts = suspects.map(({ fingerprint }) => this.countCrashes(fingerprint));
        const weights = counts.map(count => computeSuspicion(count - 1));
        const sum = weights.reduce((total, weight) => total + weight, Math.max(0, running - suspects.length));
        return suspects.flatMap(({ fingerprint }, index) => {
            const isCause = (counts[index] as number) >= QUARANTINE_CRASHES
                && (weights[index] as number) / sum > QUARANTINE_PROBABILITY;
            return isCause && this.findQuarantine(fingerprint, now) === undefined
                ? [{
                    at,
                    crashIds: (this.#suspects.get(fingerprint) ?? []).map(({ id }) => id),
                    fingerprint,
                    kind: VerdictKind.Quarantined,
                    revision: this.#getNextRevision(fingerprint),
                }]
                : [];
        });
    }

    /** Replaces all three maps by ones with the additions, within their limits. */
    #commit(crashes: readonly Crash[], verdicts: readonly Verdict[], now: number): void {
        const allVerdicts = new Map(this.#verdicts);
        for (const verdict of verdicts) {
            allVerdicts.set(verdict.fingerprint, verdict);
        }
        const recent = [...this.#crashes.values(), ...crashes].filter(({ at }) => now - at < CRASH_RETENTION_MS);
        this.#crashes = new Map(limitCrashes(recent).map(crash => [crash.id, crash]));
        this.#verdicts = new Map(
            [...allVerdicts.values()]
                .filter(({ at, kind }) => now - at < getRetentionMs(kind))
                .sort(compareVerdicts)
                .slice(-MAXIMUM_VERDICTS)
                .map(verdict => [verdict.fingerprint, verdict]),
        );
        const suspects = new Map<string, Crash[]>();
        for (const crash of [...this.#crashes.values()].sort((left, right) => left.at - right.at)) {
            for (const { fingerprint, ranMs } of crash.suspects) {
                const earlier = suspects.get(fingerprint);
                // Crashes of one moment, with the same request running at each server, are one event.
                const isIndependent = crash.at - ranMs >= (earlier?.[0]?.at ?? -Infinity);
                if (isIndependent && !this.#isCleared(fingerprint, crash.at)) {
                    suspects.set(fingerprint, [...earlier ?? [], crash]);
                }
            }
        }
        this.#suspects = suspects;
    }

    #isCleared(fingerprint: string, crashedAt: number): boolean {
        const verdict = this.#verdicts.get(fingerprint);
        return verdict?.kind === VerdictKind.Cleared && crashedAt <= verdict.at;
    }
}

/** Weight of a request among the possible causes of a crash, by its number of earlier crashes. */
function computeSuspicion(earlierCrashes: number): number {
    return SUSPICION_PER_CRASH ** Math.min(MAXIMUM_COUNTED_CRASHES, Math.max(0, earlierCrashes));
}

function getRetentionMs(kind: VerdictKind): number {
    return kind === VerdictKind.Quarantined ? QUARANTINE_RETENTION_MS : CRASH_RETENTION_MS;
}

/** Drops the oldest crashes over the limit, and those that share a suspect with another crash only after all others. */
function limitCrashes(crashes: readonly Crash[]): readonly Crash[] {
    if (crashes.length <= MAXIMUM_CRASHES) {
        return crashes;
    }
    const counts = new Map<string, number>();
    for (const { fingerprint } of crashes.flatMap(({ suspects }) => suspects)) {
        counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1);
    }
    const isShared = ({ suspects }: Crash): boolean =>
        suspects.some(({ fingerprint }) => (counts.get(fingerprint) ?? 0) > 1);
    return [...crashes]
        .sort((left, right) => Number(isShared(left)) - Number(isShared(right)) || left.at - right.at)
        .slice(-MAXIMUM_CRASHES);
}

/** Orders verdicts by how long they are kept: quarantines after clearances, and later ones after earlier ones. */
function compareVerdicts(left: Verdict, right: Verdict): number {
    return Number(left.kind === VerdictKind.Quarantined) - Number(right.kind === VerdictKind.Quarantined)
        || left.at - right.at;
}
