import type { Member } from "../../src/state/members/index.js";
import type { ReadMeshView } from "../../src/state/view/index.js";
import type { RequestProxyOptions } from "../../src/transport/proxy/index.js";
import type { DocumentOptions } from "./MeasuredDocument.js";

import { SERVICE } from "./MeasuredDocument.js";

/** More attempts than fit into a request's deadline. */
const UNLIMITED_ATTEMPTS = 1_000;
const DEFAULT_ATTEMPTS = 3;

type PolicyOptions = Pick<RequestProxyOptions, "selectServer" | "takeRetry">;

/** How servers are selected, retries are limited, and requests that may run at most once are treated. */
export interface Policy {
    readonly document: DocumentOptions;
    createOptions(readView: ReadMeshView): PolicyOptions;
}

/** Policies by name; those between `papayaturn` and `baseline` change one rule of `papayaturn` each. */
export const POLICIES = {
    papayaturn: {
        document: { isKeyed: true, attempts: DEFAULT_ATTEMPTS },
        createOptions: () => ({}),
    },
    "round-robin": {
        document: { isKeyed: true, attempts: DEFAULT_ATTEMPTS },
        createOptions: readView => ({ selectServer: createRoundRobin(readView) }),
    },
    "no-budget": {
        document: { isKeyed: true, attempts: UNLIMITED_ATTEMPTS },
        createOptions: () => ({ takeRetry: () => true }),
    },
    "no-claims": {
        document: { isKeyed: false, attempts: DEFAULT_ATTEMPTS },
        createOptions: () => ({}),
    },
    baseline: {
        document: { isKeyed: false, attempts: UNLIMITED_ATTEMPTS },
        createOptions: readView => ({ selectServer: createRoundRobin(readView), takeRetry: () => true }),
    },
} as const satisfies Record<string, Policy>;

export type PolicyName = keyof typeof POLICIES;

export function isPolicyName(name: string): name is PolicyName {
    return name in POLICIES;
}

/** Selects the live servers in round-robin order, regardless of distance, load and results. */
function createRoundRobin(readView: ReadMeshView): () => Member | undefined {
    let turn = 0;
    return () => {
        const live = (readView().membersByService.get(SERVICE) ?? []).filter(member => member.state === "live");
        turn += 1;
        return live[turn % Math.max(1, live.length)];
    };
}
