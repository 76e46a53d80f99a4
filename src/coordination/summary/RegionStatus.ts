/** Status that a region relay writes to the store for operators: the summary, and data from the whole mesh view. */
import { MemberState } from "../../state/members/index.js";
import type { MeshView } from "../../state/view/index.js";
import type { MeshSummary } from "./Summary.js";

/** Maximum number of services with too few servers in a status, those that lack most servers first. */
const SERVICES_LIMIT = 64;

const MS_PER_SECOND = 1_000;

/** A service with fewer live servers than planned. */
export interface ScarceService {
    readonly service: string;
    readonly live: number;
    readonly planned: number;
}

/** A failure domain of which no member can be reached. */
export interface CutOffStatus {
    readonly failureDomain: string;
    /** Milliseconds since contact was lost, in whole seconds; a duration, because clocks of VMs may differ. */
    readonly forMs: number;
}

/** Value of the store object `status/<region>`. */
export interface RegionStatus extends MeshSummary {
    readonly scarceServices: readonly ScarceService[];
    readonly cutOff: readonly CutOffStatus[];
}

/** A cut-off failure domain; `since` is the observer's time of the cut-off in milliseconds. */
interface CutOffSince {
    readonly domain: string;
    readonly since: number;
}

function listScarceServices({ configuration, cutOffDomains, membersByService }: MeshView): readonly ScarceService[] {
    return Object.entries(configuration?.document.services ?? {})
        .map(([service, { servers }]) => ({
            live:
                (membersByService.get(service) ?? []).filter(member =>
                    member.state === MemberState.Live && !cutOffDomains.has(member.failureDomain)
                ).length,
            planned: Object.values(servers).reduce((total, count) => total + count, 0),
            service,
        }))
        .filter(({ live, planned }) => live < planned)
        .sort((a, b) => b.planned - b.live - (a.planned - a.live) || (a.service < b.service ? -1 : 1))
        .slice(0, SERVICES_LIMIT);
}

/** Creates the status; `now` is the observer's time in milliseconds. */
export function createRegionStatus(
    summary: MeshSummary,
    view: MeshView,
    cutOff: readonly CutOffSince[],
    now: number,
): RegionStatus {
    return {
        ...summary,
        cutOff: cutOff.map(({ domain, since }) => ({
            failureDomain: domain,
            forMs: Math.floor(Math.max(0, now - since) / MS_PER_SECOND) * MS_PER_SECOND,
        })),
        scarceServices: listScarceServices(view),
    };
}
