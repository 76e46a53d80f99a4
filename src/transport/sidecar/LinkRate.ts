/** Creates what keeps large answers and bodies within the rate of the VM's link. */
import { LinkBudget, LinkPacer } from "../../coordination/scheduling/index.js";
import { UplinkSender } from "../uplink/index.js";
import type { SidecarSettings } from "./SidecarSettings.js";

/** Bytes a millisecond in one Mbit/s. */
const BYTES_PER_MS_AND_MEGABIT = 125;

/** Computes the rate of the VM's link in bytes a millisecond. */
export function computeLinkRate({ linkMegabitsPerSecond }: SidecarSettings): number {
    return linkMegabitsPerSecond * BYTES_PER_MS_AND_MEGABIT;
}

/** Only a link that large answers fill is paced. */
export function createUplink(
    linkBytesPerMs: number,
    now: () => number,
    onSmall: (bytes: number) => void,
): UplinkSender {
    const isBottleneck = new LinkBudget(linkBytesPerMs).isBottleneck;
    return new UplinkSender(isBottleneck ? new LinkPacer(linkBytesPerMs) : undefined, now, onSmall);
}
