import type { RenewalPlan } from "../../coordination/leases/index.js";
import { LEASE_RENEWAL_INTERVAL_MS } from "../../coordination/leases/index.js";
import { LEASE_RENEWAL_PATH, MeshHeader, parseLeaseAnswer } from "../../protocol/request/index.js";
import type { LeaseRenewal } from "../../protocol/request/index.js";
import { LEASE_RENEWAL_TIMEOUT_MS, RELAY_CONNECT_TIMEOUT_MS, RELAY_CONNECTIONS } from "./ProxyConstants.js";
import type { ProxyContext } from "./ProxyContext.js";

const OK_STATUS = 200;

/** Renews the slot leases of the servers in use, each once a second; returns the teardown function. */
export function registerLeaseRenewal(context: ProxyContext): () => void {
    const pending = new Set<string>();
    const timer = setInterval(() => {
        const now = context.options.now();
        for (const plan of context.leases.planRenewals(now)) {
            // A renewal is left out while the last one has no answer; the lease then lapses by itself.
            if (!pending.has(plan.owner)) {
                pending.add(plan.owner);
                void renewLease(context, plan).finally(() => pending.delete(plan.owner));
            }
        }
        context.pools.sweep(now);
    }, LEASE_RENEWAL_INTERVAL_MS);
    timer.unref();
    return () => {
        clearInterval(timer);
    };
}

/** Sends one renewal to the owner and applies its answer. A failed renewal lets the lease lapse. */
export async function renewLease(context: ProxyContext, plan: RenewalPlan): Promise<void> {
    const { options, leases, balancer } = context;
    const owner = options.readView().members.get(plan.owner);
    if (owner?.server === undefined) {
        leases.end(plan.owner);
        return;
    }
    const message: LeaseRenewal = {
        holder: options.selfId,
        owner: owner.id,
        service: owner.server.service,
        wanted: plan.wanted,
        inUse: plan.inUse,
        sent: plan.sent,
    };
    const sentAt = options.now();
    const pool = context.pools.get({
        address: owner.address,
        port: owner.relayPort,
        connections: RELAY_CONNECTIONS,
        connectTimeoutMs: RELAY_CONNECT_TIMEOUT_MS,
    }, sentAt);
    try {
        const answer = await pool.request({
            method: "POST",
            path: LEASE_RENEWAL_PATH,
            headers: { [MeshHeader.Token]: context.relayToken },
            body: JSON.stringify(message),
            signal: AbortSignal.timeout(LEASE_RENEWAL_TIMEOUT_MS),
        });
        const text = await answer.body.text();
        const load = answer.headers[MeshHeader.Load];
        const parsed = answer.statusCode === OK_STATUS && typeof load === "string"
            ? parseLeaseAnswer(text, load)
            : undefined;
        leases.applyGrant(owner.id, parsed?.granted ?? 0, sentAt);
        if (parsed !== undefined) {
            balancer.recordLoad(owner.id, parsed.load, options.now());
        }
    }
    catch (error) {
        options.log("info", "proxy: lease renewal failed.", { owner: owner.id, error: String(error) });
    }
}
