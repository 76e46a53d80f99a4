import { matchRoute } from "../../coordination/routing/index.js";
import type { Member } from "../../state/members/index.js";
import type { ProxyContext } from "./ProxyContext.js";
import { Hop } from "./RequestAttempts.js";

/** A request, described by an operator. */
export interface ExplainQuery {
    readonly method: string;
    readonly path: string;
    readonly host?: string;
    readonly key?: string;
}

/** A server that the request could be sent to. */
export interface ExplainedServer {
    readonly id: string;
    readonly failureDomain: string;
    /** 0 in this daemon's failure domain, 1 in its region, 2 elsewhere. */
    readonly distance: number;
    readonly hop: Hop;
    readonly inFlight: number;
    readonly leasedSlots: number;
    readonly utilization: number;
    readonly isEjected: boolean;
}

export interface Explanation {
    readonly version: number | undefined;
    readonly route: string | undefined;
    readonly service: string | undefined;
    readonly class: string | undefined;
    readonly repeatable: boolean | undefined;
    readonly servers: readonly ExplainedServer[];
    /** Servers in the order in which a keyed request tries them. */
    readonly keyOrder: readonly string[];
}

/** Explains where a request would go now, without sending it. */
export function explainRequest(context: ProxyContext, query: ExplainQuery): Explanation {
    const { configuration } = context.options.readView();
    const route = configuration === undefined ? undefined : matchRoute(configuration.document, {
        method: query.method,
        path: query.path,
        host: query.host?.toLowerCase(),
    });
    const now = context.options.now();
    const groups = route === undefined ? [] : context.balancer.getLocalityGroups(route.service, now);
    return {
        version: configuration?.version,
        route: route?.name,
        service: route?.service,
        class: route?.class,
        repeatable: route?.repeatable,
        servers: groups.flatMap((group, distance) =>
            group.map(member => describeServer(context, member, distance, now))
        ),
        keyOrder: route === undefined || query.key === undefined
            ? []
            : context.balancer.rankForKey(route.service, query.key, now).map(member => member.id),
    };
}

function describeServer(context: ProxyContext, member: Member, distance: number, now: number): ExplainedServer {
    const statistics = context.balancer.getStatistics(member.id, now);
    const leasedSlots = context.leases.countGranted(member.id, context.readLeaseTime());
    return {
        id: member.id,
        failureDomain: member.failureDomain,
        distance,
        hop: selectHop(context.options.selfId, member.id, leasedSlots),
        inFlight: statistics.inFlight,
        leasedSlots,
        utilization: statistics.estimateUtilization(member.server?.slots ?? 1, now),
        isEjected: statistics.ejection.isEjected(now),
    };
}

function selectHop(selfId: string, memberId: string, leasedSlots: number): Hop {
    if (memberId === selfId) {
        return Hop.Local;
    }
    return leasedSlots > 0 ? Hop.Direct : Hop.Relayed;
}
