/** Limits of the tenants in force, with the numbers by which messages name them. */
import { MS_PER_SECOND } from "./QuotaConstants.js";

export interface TenantLimit {
    readonly name: string;
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** What limits are read from; a tenant without a rate has no limit. */
export interface LimitSource {
    readonly name: string;
    readonly ratePerSecond?: number | undefined;
    readonly burst: number;
}

/** Requests of a tenant that may proceed within any window, over all daemons. */
export function computeWindowLimit({ burst, ratePerSecond }: TenantLimit, windowMs: number): number {
    return ratePerSecond * windowMs / MS_PER_SECOND + burst;
}

const FNV_OFFSET = 0x811C9DC5;
const FNV_PRIME = 0x01000193;

export class TenantLimits {
    readonly #limits: readonly TenantLimit[];
    readonly #indexByName: ReadonlyMap<string, number>;
    /** Hash of the names in their order; equal where the numbers of tenants mean the same. */
    readonly hash: number;

    constructor(tenants: Iterable<LimitSource>) {
        const limits: TenantLimit[] = [];
        for (const { burst, name, ratePerSecond } of tenants) {
            if (ratePerSecond !== undefined && ratePerSecond > 0) {
                limits.push({ burst: Math.max(0, burst), name, ratePerSecond });
            }
        }
        this.#limits = limits.sort((left, right) => left.name < right.name ? -1 : 1);
        this.#indexByName = new Map(this.#limits.map(({ name }, index) => [name, index]));
        this.hash = hashNames(this.#limits);
    }

    get size(): number {
        return this.#limits.length;
    }

    list(): readonly TenantLimit[] {
        return this.#limits;
    }

    get(name: string): TenantLimit | undefined {
        const index = this.#indexByName.get(name);
        return index === undefined ? undefined : this.#limits[index];
    }

    getByIndex(index: number): TenantLimit | undefined {
        return this.#limits[index];
    }

    findIndex(name: string): number | undefined {
        return this.#indexByName.get(name);
    }

    isEqual(other: TenantLimits): boolean {
        return this.size === other.size && this.#limits.every((limit, index) => {
            const theirs = other.#limits[index];
            return theirs !== undefined && limit.name === theirs.name && limit.burst === theirs.burst
                && limit.ratePerSecond === theirs.ratePerSecond;
        });
    }
}

function hashNames(limits: readonly TenantLimit[]): number {
    let hash = FNV_OFFSET;
    for (const { name } of limits) {
        for (let index = 0; index < name.length; index++) {
            hash = Math.imul(hash ^ name.charCodeAt(index), FNV_PRIME);
        }
        hash = Math.imul(hash ^ 0x10000, FNV_PRIME);
    }
    return hash >>> 0;
}
