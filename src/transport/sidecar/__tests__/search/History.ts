/** What happens to a simulated mesh: its layout, the versions that are written, and its troubles. */
import fc from "fast-check";

export const FaultKind = {
    /** The process stands still. */
    Freeze: "freeze",
    /** The process and its connections vanish without a word; it starts again at the end. */
    PowerOff: "powerOff",
    /** The process ends and its connections are closed; it starts again at the end. */
    Kill: "kill",
    /** A planned stop; the process starts again at the end. */
    Stop: "stop",
    /** No packet from or to other daemons and the store. */
    Cut: "cut",
    /** No packet from or to other daemons. */
    CutFromDaemons: "cutFromDaemons",
    /** `strength` percent of the packets are lost. */
    Loss: "loss",
    /** Each event takes `strength` times as long. */
    Slow: "slow",
    StoreSilent: "storeSilent",
    StoreRefused: "storeRefused",
    /** The store takes `strength` times 10 ms longer. */
    StoreSlow: "storeSlow",
    /** Watches tell nothing; the store answers calls. */
    WatchesHang: "watchesHang",
    /** Copies of versions wait for `strength` times 5 ms at the link of their sender. */
    SlowCopies: "slowCopies",
    /** Copies of versions wait for `strength` times 5 ms on their way to a daemon. */
    LateCopies: "lateCopies",
    /** A daemon gets no copies of versions. */
    LostCopies: "lostCopies",
    /** All messages wait for `strength` times 25 ms at the link of their sender. */
    FullLink: "fullLink",
    /** The store forgets its history. */
    Compact: "compact",
    /** A daemon is added. */
    Join: "join",
} as const;
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

export const TargetKind = {
    /** The daemons that watch the store at that moment. */
    Watchers: "watchers",
    /** All daemons of `value` failure domains. */
    Domains: "domains",
    /** `value` daemons by their place. */
    Daemons: "daemons",
    All: "all",
} as const;
export type TargetKind = (typeof TargetKind)[keyof typeof TargetKind];

export interface Fault {
    readonly kind: FaultKind;
    readonly atMs: number;
    readonly forMs: number;
    readonly target: TargetKind;
    /** Number of daemons or failure domains, and the place of the first one. */
    readonly count: number;
    readonly first: number;
    readonly strength: number;
}

export interface History {
    /** Of latencies, requests and all choices of the daemons. */
    readonly seed: number;
    readonly deadlineMs: number;
    readonly regions: number;
    readonly domainsPerRegion: number;
    readonly daemonsPerDomain: number;
    /** Times between the versions, in milliseconds. */
    readonly versionGapsMs: readonly number[];
    readonly faults: readonly Fault[];
}

export interface HistorySize {
    readonly regions: number;
    readonly domainsPerRegion: number;
    readonly daemonsPerDomain: number;
}

/** Time of the first version after the one with which the mesh starts, and the range of times of faults. */
export const FIRST_CHANGE_MS = 3_000;
const FAULTS_FROM_MS = 2_000;
const FAULTS_UNTIL_MS = 7_000;
const LONGEST_FAULT_MS = 6_000;
const MAXIMUM_FAULTS = 4;
const MAXIMUM_CHANGES = 8;

export function createFaultArbitrary(): fc.Arbitrary<Fault> {
    return fc.record({
        atMs: fc.integer({ max: FAULTS_UNTIL_MS, min: FAULTS_FROM_MS }),
        count: fc.integer({ max: 6, min: 1 }),
        first: fc.nat({ max: 40 }),
        forMs: fc.integer({ max: LONGEST_FAULT_MS, min: 100 }),
        kind: fc.constantFrom(...Object.values(FaultKind)),
        strength: fc.integer({ max: 100, min: 1 }),
        target: fc.constantFrom(
            TargetKind.Daemons,
            TargetKind.Daemons,
            TargetKind.Watchers,
            TargetKind.Domains,
            TargetKind.All,
        ),
    });
}

/** Histories of meshes up to a size. */
export function createHistoryArbitrary(size: HistorySize): fc.Arbitrary<History> {
    return fc.record({
        daemonsPerDomain: fc.integer({ max: size.daemonsPerDomain, min: 1 }),
        deadlineMs: fc.constantFrom(2_000, 3_000),
        domainsPerRegion: fc.integer({ max: size.domainsPerRegion, min: 1 }),
        faults: fc.array(createFaultArbitrary(), { maxLength: MAXIMUM_FAULTS }),
        regions: fc.integer({ max: size.regions, min: 1 }),
        seed: fc.nat(),
        versionGapsMs: fc.array(fc.oneof(fc.integer({ max: 500, min: 30 }), fc.integer({ max: 3_000, min: 30 })), {
            maxLength: MAXIMUM_CHANGES,
            minLength: 1,
        }),
    });
}
