/** A VM of a simulated mesh: its place, its daemon, and what disturbs it. */
import type { SimulatedDaemon } from "./SimulatedDaemon.js";
import type { NetworkNode } from "./SimulatedNetwork.js";

/** Time without impairment after which a VM is in touch again, as the users' rules have it. */
export const STABLE_WINDOW_MS = 3_000;

/** Time in which the rules with a bound in time don't hold. */
export interface Impairment {
    readonly from: number;
    readonly to: number;
}

export interface SimulatedVm {
    readonly index: number;
    readonly id: string;
    readonly domain: string;
    readonly region: string;
    readonly service: string;
    /** By how much longer each event takes, since the processor is weak; this excuses nothing. */
    readonly weakness: number;
    readonly impairments: Impairment[];
    /** Times in which the VM counts as slow, so that decisions may go back for longer. */
    readonly slowTimes: Impairment[];
    /** Times in which single events of the daemon take long, which excuses no decision, but late answers and copies. */
    readonly heldTimes: Impairment[];
    readonly state: {
        cutUntil: number;
        storeCutUntil: number;
        lossShare: number;
        copiesLostUntil: number;
        messageWaitMs: number;
        copyWaitMs: number;
        incomingCopyWaitMs: number;
        storeSilentUntil: number;
        storeRefusedUntil: number;
        storeExtraMs: number;
        /** Shares of the calls that the store rejects for its rate, and of the answers that are lost after their effect. */
        storeBusyShare: number;
        storeLostShare: number;
        watchesHangUntil: number;
    };
    /** Whether it has reached the store by itself for as long as a version may take. */
    hasStore: boolean;
    storeLostAt: number;
    /** When its daemon had its first version for long enough to know those of others; Infinity until then. */
    settledAt: number;
    /** Counts the starts of its daemon. */
    incarnation: number;
    node: NetworkNode | undefined;
    daemon: SimulatedDaemon | undefined;
}

export function createVm(
    place: Pick<SimulatedVm, "domain" | "index" | "region" | "service" | "weakness">,
): SimulatedVm {
    return {
        ...place,
        daemon: undefined,
        heldTimes: [],
        hasStore: true,
        id: `d${place.index}`,
        impairments: [],
        incarnation: 0,
        node: undefined,
        slowTimes: [],
        state: {
            copiesLostUntil: -Infinity,
            copyWaitMs: 0,
            cutUntil: -Infinity,
            incomingCopyWaitMs: 0,
            lossShare: 0,
            messageWaitMs: 0,
            storeBusyShare: 0,
            storeCutUntil: -Infinity,
            storeExtraMs: 0,
            storeLostShare: 0,
            storeRefusedUntil: -Infinity,
            storeSilentUntil: -Infinity,
            watchesHangUntil: -Infinity,
        },
        settledAt: Infinity,
        storeLostAt: -Infinity,
    };
}

/** Whether an impairment lasts at a time, or ended less than the stable window before it. */
export function isImpaired(impairments: readonly Impairment[], at: number): boolean {
    return impairments.some(({ from, to }) => from <= at && at <= to + STABLE_WINDOW_MS);
}
