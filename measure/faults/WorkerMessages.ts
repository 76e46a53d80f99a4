import type { CountedEvent } from "../../src/coordination/recording/index.js";
import type { Member } from "../../src/state/members/index.js";
import type { StoreError } from "../../src/state/store/index.js";
import type { PutCondition } from "../../src/state/store/index.js";
import type { PolicyName } from "./Policies.js";

/** How a measured backend server treats requests. */
export const Behaviour = {
    Normal: "normal",
    /** Answers correctly, but many times slower than usual. */
    Slow: "slow",
    /** Answers 500 at once while its owner reports it as healthy and idle. */
    Failing: "failing",
} as const;
export type Behaviour = (typeof Behaviour)[keyof typeof Behaviour];

/** Settings that a daemon's worker thread starts with. */
export interface WorkerSettings {
    readonly id: string;
    readonly failureDomain: string;
    readonly hasServer: boolean;
    readonly policy: PolicyName;
    readonly seed: number;
}

/** One call to the store, which is in the main thread. */
export interface StoreCall {
    readonly operation: "get" | "put" | "delete";
    readonly key: string;
    readonly value: string;
    readonly condition: PutCondition;
}

/** Result of a store call in a form that can be sent between threads. */
export type StoreReply =
    | { readonly kind: "result"; readonly value: unknown; }
    | { readonly kind: "error"; readonly error: StoreError; };

export type MessageToWorker =
    | { readonly kind: "view"; readonly members: readonly Member[]; readonly cutOffDomains: readonly string[]; }
    | { readonly kind: "behaviour"; readonly behaviour: Behaviour; }
    | { readonly kind: "drain"; }
    | { readonly kind: "store-reply"; readonly call: number; readonly reply: StoreReply; };

export type MessageFromWorker =
    | {
        readonly kind: "ready";
        readonly requestPort: number;
        readonly relayPort: number;
        readonly serverPort: number | undefined;
    }
    /** The backend server started to execute the request with this number. */
    | { readonly kind: "executed"; readonly request: number; }
    | { readonly kind: "counted"; readonly event: CountedEvent; }
    | { readonly kind: "store-call"; readonly call: number; readonly request: StoreCall; };

/** Header that carries the number of a measured request to the backend server. */
export const REQUEST_NUMBER_HEADER = "x-request-number";
