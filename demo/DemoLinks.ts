/** Latency and capacity of the links between the demo's daemons, as the document describes them. */
import type { MeshSettings } from "../src/state/document/index.js";
import type { DelayLink } from "../src/transport/mesh/index.js";

/** Environment variable that passes the link settings to the demo's daemons. */
export const DEMO_LINKS_VARIABLE = "PAPAYATURN_DEMO_LINKS";
const BITS_PER_BYTE = 8;
const MS_PER_SECOND = 1000;

/** The settings of a mesh that describe its links. */
export type DemoLinks = Pick<MeshSettings, "latency" | "linkBitsPerSecond">;

export function encodeLinks({ latency, linkBitsPerSecond }: DemoLinks): string {
    return JSON.stringify({ latency, linkBitsPerSecond } satisfies DemoLinks);
}

export function decodeLinks(text: string): DemoLinks {
    return JSON.parse(text) as DemoLinks;
}

/** Delays a frame by the latency between its ends and, between regions, by its transmission time on the link. */
export function createDemoDelay({ latency, linkBitsPerSecond }: DemoLinks): DelayLink {
    return (from, to, bytes) => {
        if (from.region !== to.region) {
            return latency.betweenRegionsMs + bytes * BITS_PER_BYTE / linkBitsPerSecond * MS_PER_SECOND;
        }
        return from.failureDomain === to.failureDomain ? 0 : latency.betweenFailureDomainsMs;
    };
}
