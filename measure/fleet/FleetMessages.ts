/** Messages between a measurement and the processes that host its daemons. */

/** `mesh` daemons, or the baseline in which each daemon watches the store and reads versions in full. */
export type FleetMode = "mesh" | "baseline";

export interface HostedDaemon {
    readonly id: string;
    readonly service: string;
}

export type FleetCommand =
    | {
        readonly kind: "start";
        readonly mode: FleetMode;
        readonly region: string;
        readonly failureDomain: string;
        readonly daemons: readonly HostedDaemon[];
        /** `host:port` of daemons that already run. */
        readonly seeds: readonly string[];
        readonly storeUrl: string;
        readonly seed: number;
    }
    | { readonly kind: "crash"; }
    | { readonly kind: "report"; };

/** Sums over the daemons of one process. */
export interface FleetReport {
    readonly kind: "report";
    readonly daemons: number;
    /** Number of daemons by version in force; version 0 stands for none. */
    readonly versions: Readonly<Record<number, number>>;
    readonly sentBytes: number;
    readonly sentBytesAcrossRegions: number;
    readonly storeBytes: number;
    readonly storeCalls: number;
    /** Highest number of store calls in one second since the last report. */
    readonly peakStoreCalls: number;
    readonly cpuMicroseconds: number;
    readonly rssBytes: number;
    readonly heapBytes: number;
}

export type FleetEvent =
    | { readonly kind: "ready"; }
    | { readonly kind: "started"; readonly peerPorts: readonly number[]; }
    | { readonly kind: "crashed"; }
    /** A daemon put a version in force; `at` is in milliseconds since the epoch. */
    | { readonly kind: "in-force"; readonly id: string; readonly version: number; readonly at: number; }
    | FleetReport;

/** Returns the time since the epoch in fractional milliseconds, comparable between processes of one machine. */
export function readPreciseTime(): number {
    return performance.timeOrigin + performance.now();
}
