/** A customer whose callers are recognized by their keys. */
export interface Tenant {
    readonly name: string;
    /** Replaces the priority of the route; undefined when the tenant has none. */
    readonly priority?: number | undefined;
    /** Requests a second over all daemons; undefined when the tenant has no limit. */
    readonly ratePerSecond?: number | undefined;
    /** Requests beyond the rate that may come at once, over all daemons; 0 without a limit. */
    readonly burst: number;
}
