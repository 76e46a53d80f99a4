/** How the health and load endpoints misreport: nothing, a fixed good state, or a fixed bad one. */
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
    /** The process ends while it works on the next request. */
    readonly crashOnNextRequest: boolean;
    readonly reporting: ReportingFault;
}

/** One execution of a request, reported when it begins. */
export interface RequestExecution {
    /** Value of the request's `x-request-tag` header, by which a test recognizes its request. */
    readonly tag: string | undefined;
    readonly idempotencyKey: string | undefined;
}

export interface BackendServerOptions {
    readonly service: string;
    readonly host: string;
    /** 0 selects a free port. */
    readonly port: number;
    /** Base URL of the control interface of the daemon beside the server; undefined to announce to nobody. */
    readonly daemonUrl: string | undefined;
    readonly slots: number;
    readonly connections: number;
    /** Middle of the service time, which is drawn uniformly from half to one and a half of it. */
    readonly serviceTimeMs: number;
    readonly answerBytes: number;
    /** Time after the start in which the server announces itself as `starting` and works at half speed. */
    readonly coldStartMs: number;
    /** Shortest time between announcing leaving and closing the port. */
    readonly drainMs: number;
    /** Age of the state that the health and load endpoints report. */
    readonly reportingLagMs: number;
    readonly seed: number;
    readonly onExecution?: (run: RequestExecution) => void;
    /** Called when a crash was asked for; the executable ends the process. */
    readonly onCrash?: () => void;
}

/** Defaults for everything but the service: one slot budget of the example documents. */
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
