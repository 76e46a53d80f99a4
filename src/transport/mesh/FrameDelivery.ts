import type { SessionOptions } from "../../protocol/peer/index.js";
import type { Timers } from "../timers/index.js";
import type { DelayLink, LinkEndpoint } from "./MeshOptions.js";

/** Delays frames by the latency from `delayLink` and preserves their order within a connection. */
export function createFrameDelivery(
    delayLink: DelayLink | undefined,
    self: LinkEndpoint,
    timers: Timers,
    now: () => number,
): SessionOptions["deliver"] {
    const arrivals = new WeakMap<(frame: Uint8Array) => void, number>();
    return (frame, to, send) => {
        const delayMs = delayLink === undefined || to === undefined ? 0 : delayLink(self, to, frame.length);
        if (delayMs === Infinity) {
            return;
        }
        const arrival = Math.max(now() + delayMs, arrivals.get(send) ?? 0);
        const waitMs = arrival - now();
        if (waitMs <= 0) {
            send(frame);
            return;
        }
        arrivals.set(send, arrival);
        timers.after(waitMs, () => send(frame));
    };
}
