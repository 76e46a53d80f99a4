import type { Member } from "../../src/state/members/index.js";

/** What a process of the measurement does. */
export type Role = "server" | "bare-hop" | "owner" | "leasing" | "relaying";

/** Message from the measurement to a process. */
export type ProcessRequest =
    | { readonly kind: "owner"; readonly owner: Member; }
    | { readonly kind: "usage"; };

/** Message from a process to the measurement. */
export type ProcessReply =
    | { readonly kind: "ready"; readonly requestPort: number; readonly relayPort: number; }
    | ProcessUsage;

export interface ProcessUsage {
    readonly kind: "usage";
    readonly cpuMicroseconds: number;
    readonly rssBytes: number;
    readonly heapBytes: number;
}
