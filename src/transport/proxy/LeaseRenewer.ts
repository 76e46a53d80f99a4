import { LEASE_RENEWAL_INTERVAL_MS } from "../../coordination/leases/index.js";
import type { RenewalPlan } from "../../coordination/leases/index.js";
import { LEASE_RENEWAL_PATH, MeshHeader, parseLeaseAnswer } from "../../protocol/request/index.js";
import type { LeaseAnswer, LeaseRenewal } from "../../protocol/request/index.js";
import type { Member } from "../../state/members/index.js";
import { realTimers, withTimeoutSignal } from "../timers/index.js";
import { LEASE_RENEWAL_TIMEOUT_MS, RELAY_CONNECT_TIMEOUT_MS } from "./ProxyConstants.js";
import type { ProxyContext } from "./ProxyContext.js";

const OK_STATUS = 200;

/** Renews this daemon's slot leases of other servers and applies the owners' answers. */
export interface LeaseRenewer {
    /** Requests a lease for a server that is used for the first time, without waiting for the next interval. */
    requestLease(owner: string): void;
    /** Stops renewing, so that the leases expire. */
    stop(): void;
    /** Stops renewing and returns all leases, so that the owners need not wait until they expire. */
    returnAll(): Promise<void>;
}

/** Renews the slot leases of the servers in use, each once per `LEASE_RENEWAL_INTERVAL_MS`. */
export function startLeaseRenewer(context: ProxyContext): LeaseRenewer {
    const { leases, options } = context;
    const pending = new Set<string>();
    // A renewal is skipped while the previous one is pending; without an answer the lease expires.
    const renew = (owner: string): void => {
        if (options.isLeasing !== false && !pending.has(owner)) {
            pending.add(owner);
            const plan = leases.planRenewal(owner, context.readLeaseTime());
            void renewLease(context, plan).finally(() => pending.delete(owner));
        }
    };
    const timer = setInterval(() => {
        for (const owner of leases.listOwners()) {
            renew(owner);
        }
        context.pools.closeIdlePools(options.now());
    }, LEASE_RENEWAL_INTERVAL_MS);
    timer.unref();
    return {
        requestLease: renew,
        stop: () => {
            clearInterval(timer);
        },
        returnAll: async () => {
            clearInterval(timer);
            await Promise.all(leases.planReturns().map(plan => renewLease(context, plan)));
        },
    };
}

async function renewLease(context: ProxyContext, plan: RenewalPlan): Promise<void> {
    const { options, leases, balancer } = context;
    const owner = options.readView().members.get(plan.owner);
    if (owner?.server === undefined) {
        leases.revoke(plan.owner);
        return;
    }
    const sentAt = context.readLeaseTime();
    const answer = await sendRenewal(context, owner, {
        holder: options.selfId,
        owner: owner.id,
        service: owner.server.service,
        wanted: plan.wanted,
        inUse: plan.inUse,
        sent: plan.sent,
    }, options.now());
    if (answer !== undefined) {
        leases.applyGrant(owner.id, answer.granted, sentAt);
        balancer.recordLoad(owner.id, answer.load, options.now());
    }
}

/** Sends a renewal; undefined when no valid answer came, so that the lease expires. */
async function sendRenewal(
    context: ProxyContext,
    owner: Member,
    renewal: LeaseRenewal,
    now: number,
): Promise<LeaseAnswer | undefined> {
    const pool = context.pools.get({
        address: owner.address,
        port: owner.relayPort,
        connections: 1,
        connectTimeoutMs: RELAY_CONNECT_TIMEOUT_MS,
        purpose: "leases",
    }, now);
    try {
        return await withTimeoutSignal(realTimers, LEASE_RENEWAL_TIMEOUT_MS, async signal => {
            const answer = await pool.request({
                method: "POST",
                path: LEASE_RENEWAL_PATH,
                headers: { [MeshHeader.Token]: context.relayToken },
                body: JSON.stringify(renewal),
                signal,
            });
            const text = await answer.body.text();
            const load = answer.headers[MeshHeader.Load];
            return answer.statusCode === OK_STATUS && typeof load === "string"
                ? parseLeaseAnswer(text, load)
                : undefined;
        });
    }
    catch (error) {
        context.options.log("info", "proxy: lease renewal failed.", { owner: owner.id, error: String(error) });
        return undefined;
    }
}
