/** Counts requests by tenant: those of a bounded number of tenants singly, and the rest together. */
import type { RequestRecord, RequestRecorder } from "../../coordination/recording/index.js";

/** How the requests of a tenant have ended. */
export interface TenantCounts {
    readonly tenant: string;
    readonly answered: number;
    /** Beyond the limit of the tenant. */
    readonly overQuota: number;
    /** Not run for any other reason. */
    readonly refused: number;
    /** Without an answer, although they may have run. */
    readonly unknown: number;
}

type Counts = { -readonly [K in Exclude<keyof TenantCounts, "tenant">]: number; };

/** Tenants that are counted singly: those whose requests have come first. There may be 10,000. */
export const MAXIMUM_COUNTED_TENANTS = 100;
/** Stands for all other tenants; no tenant has an empty name. */
export const OTHER_TENANTS = "";

const OVER_QUOTA_STATUS = 429;

export class TenantMetrics implements RequestRecorder {
    readonly #countsByTenant = new Map<string, Counts>();

    record({ outcome, status, tenant }: Pick<RequestRecord, "outcome" | "status" | "tenant">): void {
        if (tenant === undefined) {
            return;
        }
        const counts = this.#getCounts(tenant);
        if (outcome === "not-run") {
            counts[status === OVER_QUOTA_STATUS ? "overQuota" : "refused"]++;
        }
        else {
            counts[outcome === "answered" ? "answered" : "unknown"]++;
        }
    }

    /** Events are counted by route. */
    count(): void {
        // Nothing to do.
    }

    /** Tenants with the most requests first. */
    list(): readonly TenantCounts[] {
        return [...this.#countsByTenant]
            .map(([tenant, counts]) => ({ tenant, ...counts }))
            .sort((left, right) => sumCounts(right) - sumCounts(left));
    }

    get(tenant: string): Omit<TenantCounts, "tenant"> | undefined {
        return this.#countsByTenant.get(tenant);
    }

    #getCounts(tenant: string): Counts {
        const known = this.#countsByTenant.get(tenant);
        if (known !== undefined) {
            return known;
        }
        if (tenant !== OTHER_TENANTS && this.#countsByTenant.size >= MAXIMUM_COUNTED_TENANTS) {
            return this.#getCounts(OTHER_TENANTS);
        }
        const created = { answered: 0, overQuota: 0, refused: 0, unknown: 0 };
        this.#countsByTenant.set(tenant, created);
        return created;
    }
}

function sumCounts({ answered, overQuota, refused, unknown }: Counts): number {
    return answered + overQuota + refused + unknown;
}
