/** Tenants of one version of the configuration, found by key, by the digest of a key, or by name in constant time. */
import { createHash } from "node:crypto";
import type { Tenant } from "./Tenant.js";

/** A tenant with its keys, as the configuration lists them. */
export interface TenantEntry {
    readonly tenant: Tenant;
    readonly keys: readonly string[];
}

/** A tenant and the number of its keys, for operators. */
export interface TenantSummary {
    readonly tenant: Tenant;
    readonly keys: number;
}

/** Computes what daemons tell each other instead of a key. */
export function computeKeyDigest(key: string): string {
    return createHash("sha256").update(key).digest("base64url");
}

export class TenantTable {
    readonly #byName: ReadonlyMap<string, TenantSummary>;
    readonly #byKey = new Map<string, Tenant>();
    /** Built at the first search, since most daemons are never asked by digests. */
    #byDigest: Map<string, Tenant> | undefined;

    /** A key of several tenants is valid for none of them; of entries with the same name the first one counts. */
    constructor(entries: readonly TenantEntry[]) {
        const byName = new Map<string, TenantSummary>();
        const ambiguous = new Set<string>();
        for (const { keys, tenant } of entries) {
            if (byName.has(tenant.name)) {
                continue;
            }
            for (const key of keys) {
                const known = this.#byKey.get(key);
                if (known !== undefined && known !== tenant) {
                    ambiguous.add(key);
                }
                this.#byKey.set(key, tenant);
            }
            byName.set(tenant.name, { keys: new Set(keys).size, tenant });
        }
        ambiguous.forEach(key => this.#byKey.delete(key));
        this.#byName = byName;
    }

    /** Number of keys of all tenants. */
    get keyCount(): number {
        return this.#byKey.size;
    }

    /** Finds the tenant of a key, which is compared exactly. */
    findByKey(key: string): Tenant | undefined {
        return this.#byKey.get(key);
    }

    findByKeyDigest(digest: string): Tenant | undefined {
        this.#byDigest ??= new Map([...this.#byKey].map(([key, tenant]) => [computeKeyDigest(key), tenant]));
        return this.#byDigest.get(digest);
    }

    get(name: string): Tenant | undefined {
        return this.#byName.get(name)?.tenant;
    }

    list(): readonly TenantSummary[] {
        return [...this.#byName.values()];
    }
}
