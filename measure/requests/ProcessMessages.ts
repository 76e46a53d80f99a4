import type { Member } from "../../src/state/members/index.js";

/** Role of a child process of the measurement. */
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
