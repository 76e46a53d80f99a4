/** Which of two measures an operator weighs more: convergence time or control bytes. */
export const Weighing = {
    Convergence: "convergence",
    Balanced: "balanced",
    Bytes: "bytes",
} as const;
export type Weighing = (typeof Weighing)[keyof typeof Weighing];

/** What a route does while no backend server of its service has ever announced itself. */
export const WhenAbsent = {
    /** The version is held back on a daemon that lacks the service. */
    Wait: "wait",
    /** The version is put in force; the route answers 503, not run. */
    Refuse: "refuse",
} as const;
export type WhenAbsent = (typeof WhenAbsent)[keyof typeof WhenAbsent];

export interface RegionSettings {
    readonly failureDomains: readonly string[];
}

/** Mesh-wide settings, after units were converted and defaults filled in. */
export interface MeshSettings {
    readonly name: string;
    readonly weighing: Weighing;
    readonly regions: Readonly<Record<string, RegionSettings>>;
    readonly storeRegion: string;
    /** One-way latencies in milliseconds. */
    readonly latency: {
        readonly betweenFailureDomainsMs: number;
        readonly betweenRegionsMs: number;
        readonly toClientsMs: number;
    };
    /** Capacity of the link between regions in bits per second, in each direction. */
    readonly linkBitsPerSecond: number;
    readonly claims: {
        readonly shards: number;
        readonly retentionMs: number;
        readonly answerBytes: number;
    };
}

export interface RetrySettings {
    /** Total number of attempts, including the first. */
    readonly attempts: number;
    /** Share of requests that may be retries, 0 to 1. */
    readonly budget: number;
    readonly minimumPerSecond: number;
    readonly baseDelayMs: number;
    readonly maximumDelayMs: number;
}

export interface ServiceSettings {
    readonly name: string;
    /** Planned number of backend servers for each failure domain. */
    readonly servers: Readonly<Record<string, number>>;
    readonly slots: number;
    readonly connections: number;
    readonly connectTimeoutMs: number;
    /** Working time that one new connection costs the server, in milliseconds. */
    readonly connectionCostMs: number;
    readonly probe: {
        readonly path: string;
        readonly intervalMs: number;
        readonly timeoutMs: number;
        readonly costMs: number;
    };
    readonly queue: {
        readonly length: number;
        readonly deadlineMs: number;
    };
    readonly retry: RetrySettings;
    readonly slowStartMs: number;
    readonly whenAbsent: WhenAbsent;
}

export interface RouteSettings {
    readonly name: string;
    readonly match: {
        /** Empty means any method. */
        readonly methods: readonly string[];
        /** Matches the request path by prefix at a segment boundary; the longest prefix wins. */
        readonly pathPrefix: string;
        /** Host name without port, or undefined for any. */
        readonly host?: string;
    };
    readonly service: string;
    readonly class: string;
    readonly timeoutMs: number;
    /** Whether a request may run more than once. If false, it needs an idempotency key and runs at most once. */
    readonly repeatable: boolean;
    readonly maximumRequestBytes: number;
    /** Named resources that the route needs, by name. */
    readonly resources: readonly string[];
}

/** A tenant or a kind of requests that shares slots with other classes by weight. */
export interface ClassSettings {
    readonly name: string;
    readonly weight: number;
    /** Highest share of a server's slots, 0 to 1. */
    readonly maximumShare: number;
}

/** Content that routes refer to by name. */
export interface NamedResource {
    readonly name: string;
    readonly contentType: string;
    readonly text: string;
}

/** A validated document in the form that daemons use: units converted, defaults filled in. */
export interface MeshDocument {
    readonly mesh: MeshSettings;
    readonly services: Readonly<Record<string, ServiceSettings>>;
    readonly routes: Readonly<Record<string, RouteSettings>>;
    readonly classes: Readonly<Record<string, ClassSettings>>;
    readonly resources: Readonly<Record<string, NamedResource>>;
}
