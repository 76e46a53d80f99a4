import type { Member } from "../../src/state/members/index.js";
import type { ReadMeshView } from "../../src/state/view/index.js";
import type { RequestProxyOptions } from "../../src/transport/proxy/index.js";
import type { DocumentOptions } from "./MeasuredDocument.js";

import { SERVICE } from "./MeasuredDocument.js";

/** Attempts that no request reaches within its deadline. */
const UNLIMITED_ATTEMPTS = 1_000;
const DEFAULT_ATTEMPTS = 3;

type PolicyOptions = Pick<RequestProxyOptions, "selectServer" | "takeRetry">;

/** A way to choose servers, to retry and to treat requests that may run once. */
export interface Policy {
    readonly document: DocumentOptions;
    createOptions(readView: ReadMeshView): PolicyOptions;
}

/** Policies by name; the ones between the project's and the baseline change one rule each. */
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

/** Takes the live servers in turn, without regard to distance, load or results. */
function createRoundRobin(readView: ReadMeshView): () => Member | undefined {
    let turn = 0;
    return () => {
        const live = (readView().membersByService.get(SERVICE) ?? []).filter(member => member.state === "live");
        turn += 1;
        return live[turn % Math.max(1, live.length)];
    };
}
