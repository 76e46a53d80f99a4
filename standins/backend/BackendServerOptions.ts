/** How the health and load endpoints misreport: not at all, always idle, or always overloaded. */
export const ReportingFault = {
    None: "none",
    AlwaysIdle: "always-idle",
    AlwaysOverloaded: "always-overloaded",
} as const;
export type ReportingFault = (typeof ReportingFault)[keyof typeof ReportingFault];

/** Switchable faults of a running stand-in. */
export interface BackendFaults {
    /** Multiplies the service time. */
    readonly slowFactor: number;
    /** Requests are accepted and never answered. */
    readonly hang: boolean;
    /** The connection is closed after half of the answer's body. */
    readonly cutAnswers: boolean;
    /** The process crashes while it executes the next request. */
    readonly crashOnNextRequest: boolean;
    readonly reporting: ReportingFault;
}

/** One execution of a request, reported when it starts. */
export interface RequestExecution {
    /** Value of the request's `x-request-tag` header, by which a test identifies its request. */
    readonly tag: string | undefined;
    readonly idempotencyKey: string | undefined;
}

export interface BackendServerOptions {
    readonly service: string;
    readonly host: string;
    /** 0 selects a free port. */
    readonly port: number;
    /** Base URL of the control interface of the server's daemon; undefined disables announcements. */
    readonly daemonUrl: string | undefined;
    readonly slots: number;
    readonly connections: number;
    /** Mean service time; each request takes between 0.5 and 1.5 times as long, uniformly distributed. */
    readonly serviceTimeMs: number;
    readonly answerBytes: number;
    /** Time after the start in which the server announces itself as `starting` and works at half speed. */
    readonly coldStartMs: number;
    /** Minimum time between announcing leaving and closing the port. */
    readonly drainMs: number;
    /** Age of the state that the health and load endpoints report. */
    readonly reportingLagMs: number;
    readonly seed: number;
    readonly onExecution?: (execution: RequestExecution) => void;
    /** Called when a requested crash occurs; the executable exits. */
    readonly onCrash?: () => void;
}

/** Defaults for all options but the service, with the slot budget of the example documents. */
export const BACKEND_SERVER_DEFAULTS = {
    answerBytes: 1024,
    coldStartMs: 0,
    connections: 120,
    daemonUrl: undefined,
    drainMs: 3000,
    host: "127.0.0.1",
    port: 0,
    reportingLagMs: 0,
    seed: 1,
    serviceTimeMs: 5,
    slots: 12,
} as const satisfies Omit<BackendServerOptions, "service">;

export const NO_FAULTS: BackendFaults = {
    crashOnNextRequest: false,
    cutAnswers: false,
    hang: false,
    reporting: ReportingFault.None,
    slowFactor: 1,
};
