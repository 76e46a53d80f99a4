// src/state/shared/RendezvousHash.ts
var FNV_OFFSET = 2166136261;
var FNV_PRIME = 16777619;
function computeRendezvousHash(key, candidate) {
    let hash = FNV_OFFSET;
    for (let index = 0; index < key.length; index++) {
        hash = Math.imul(hash ^ key.charCodeAt(index), FNV_PRIME);
    }
    hash = Math.imul(hash ^ 255, FNV_PRIME);
    for (let index = 0; index < candidate.length; index++) {
        hash = Math.imul(hash ^ candidate.charCodeAt(index), FNV_PRIME);
    }
    hash ^= hash >>> 16;
    hash = Math.imul(hash, 2246822507);
    hash ^= hash >>> 13;
    hash = Math.imul(hash, 3266489909);
    return (hash ^ hash >>> 16) >>> 0;
}

// src/state/shared/SeededRandom.ts
function createSeededRandom(seed) {
    let state = seed >>> 0;
    return () => {
        state = state + 1831565813 >>> 0;
        let mixed = Math.imul(state ^ state >>> 15, state | 1);
        mixed ^= mixed + Math.imul(mixed ^ mixed >>> 7, mixed | 61);
        return ((mixed ^ mixed >>> 14) >>> 0) / 4294967296;
    };
}

// src/coordination/quotas/AllocatorChoice.ts
var RANKING_KEY = "quota-allocator";
var REPLACEMENT_DELAY_MS = 2e3;
var AllocatorChoice = class {
    #current;
    #better;
    get current() {
        return this.#current;
    }
    /** Orders daemons by their rank as allocators. */
    rank(candidates) {
        return [...candidates].sort(compareRanks).map(({ id }) => id);
    }
    /** Returns the allocator; undefined while no candidate can be reached. An unreachable one is replaced at once. */
    update(candidates, now) {
        let best;
        let isCurrentReachable = false;
        for (const candidate of candidates) {
            isCurrentReachable ||= candidate.id === this.#current;
            if (best === void 0 || compareRanks(candidate, best) < 0) {
                best = candidate;
            }
        }
        if (!isCurrentReachable || best === void 0 || best.id === this.#current) {
            this.#current = best?.id;
            this.#better = void 0;
        }
        else if (this.#better?.id !== best.id) {
            this.#better = { id: best.id, since: now };
        }
        else if (now - this.#better.since >= REPLACEMENT_DELAY_MS) {
            this.#current = best.id;
            this.#better = void 0;
        }
        return this.#current;
    }
};
function compareRanks(left, right) {
    return left.startedAt - right.startedAt
        || computeRendezvousHash(RANKING_KEY, left.id) - computeRendezvousHash(RANKING_KEY, right.id)
        || (left.id < right.id ? -1 : 1);
}

// src/coordination/quotas/GrantLedger.ts
var GRANT_LEDGER_RULES = {
    forgetsUnacknowledged: false,
    ignoresUses: false,
    rests: true,
};
var GrantLedger = class {
    #rules;
    #windowMs;
    #holders = /* @__PURE__ */ new Map();
    #totals = /* @__PURE__ */ new Map();
    constructor(windowMs, rules = GRANT_LEDGER_RULES) {
        this.#windowMs = windowMs;
        this.#rules = rules;
    }
    /** What all holders together may be using of a tenant's limit. */
    getTotal(tenant) {
        return this.#totals.get(tenant) ?? 0;
    }
    /** What one holder may be using. */
    get(holder, tenant) {
        return this.#holders.get(holder)?.out.get(tenant) ?? 0;
    }
    /** What a holder was granted last. */
    getLast(holder, tenant) {
        return this.#holders.get(holder)?.sent.at(-1)?.quotas.get(tenant) ?? 0;
    }
    record(holder, sequence, endsAt, quotas) {
        const state = this.#require(holder);
        state.sent = [...this.#rules.forgetsUnacknowledged ? [] : state.sent, { endsAt, quotas, sequence }];
        this.#update(state);
    }
    /**
     * Records a report of a holder: the grant that it has taken, so that it can't use those before, and what it has used in
     * the last window. What proceeds after the report does so by that grant or a later one.
     */
    acknowledge(holder, sequence, uses, now) {
        const state = this.#require(holder);
        if (state.sent.some(grant => grant.sequence === sequence)) {
            state.sent = state.sent.filter(grant => grant.sequence >= sequence);
        }
        state.uses = this.#rules.ignoresUses ? void 0 : { byTenant: uses, endsAt: now + this.#windowMs };
        this.#update(state);
    }
    /** Drops what has ended more than one window ago. */
    expire(now) {
        const restMs = this.#rules.rests ? this.#windowMs : 0;
        for (const [id, state] of this.#holders) {
            const sent = state.sent.filter(({ endsAt }) => endsAt + restMs > now);
            const uses = state.uses !== void 0 && state.uses.endsAt > now ? state.uses : void 0;
            if (sent.length < state.sent.length || uses !== state.uses) {
                state.sent = sent;
                state.uses = uses;
                this.#update(state);
            }
            if (sent.length === 0 && uses === void 0) {
                this.#holders.delete(id);
            }
        }
    }
    #require(id) {
        const state = this.#holders.get(id) ?? { out: /* @__PURE__ */ new Map(), sent: [], uses: void 0 };
        this.#holders.set(id, state);
        return state;
    }
    #update(state) {
        const after = new Map(state.uses?.byTenant);
        for (const { quotas } of state.sent) {
            for (const [tenant, quota] of quotas) {
                after.set(tenant, Math.max(after.get(tenant) ?? 0, quota));
            }
        }
        for (const tenant of /* @__PURE__ */ new Set([...state.out.keys(), ...after.keys()])) {
            const total = this.getTotal(tenant) - (state.out.get(tenant) ?? 0) + (after.get(tenant) ?? 0);
            this.#totals.set(tenant, total);
        }
        state.out = after;
    }
};

// src/coordination/quotas/LoanLedger.ts
var ROUNDING_ERROR = 1e-9;
var LoanLedger = class {
    #loans = /* @__PURE__ */ new Map();
    /** Records the newest loan of a lender, which replaces its earlier one. */
    record(lenderId, weight, endsAt) {
        this.#loans.set(lenderId, { endsAt, weight });
    }
    /** Part of all limits that is lent until after `at`. */
    getWeight(at) {
        let sum = 0;
        for (const { endsAt, weight } of this.#loans.values()) {
            if (endsAt > at) {
                sum += weight;
            }
        }
        return Math.min(1, sum + ROUNDING_ERROR);
    }
    expire(now) {
        for (const [id, { endsAt }] of this.#loans) {
            if (endsAt <= now) {
                this.#loans.delete(id);
            }
        }
    }
};

// src/coordination/quotas/QuotaConstants.ts
var LOAN_TERM_MS = 3e3;
var GRANT_TERM_MS = 1500;
var CLOCK_MARGIN_MS = 100;
var MEMBER_SPREAD_MS = 2e3;
var SHARE_GROWTH_DELAY_MS = 5e3;
var MS_PER_SECOND = 1e3;

// src/coordination/quotas/ShareTargets.ts
var COVERED_DEVIATIONS = 2.5;
var GRANTED_SHARE_OF_SPARE = 0.5;
function computeFairLevel(wants, amount) {
    const sorted = [...wants].sort((left2, right) => left2 - right);
    let left = amount;
    for (const [index, want] of sorted.entries()) {
        const level = left / (sorted.length - index);
        if (want >= level) {
            return level;
        }
        left -= want;
    }
    return Infinity;
}
function computeTargets(demands, amount) {
    const wants = [...demands.values()].map(({ wanted }) => Math.max(1, wanted));
    const level = Math.floor(computeFairLevel(wants, amount));
    const targets = /* @__PURE__ */ new Map();
    const rooms = /* @__PURE__ */ new Map();
    let left = Math.floor(amount);
    let wholeRoom = 0;
    [...demands.keys()].forEach((id, index) => {
        const want = wants[index] ?? 0;
        const target = Math.min(level, want);
        const room = Math.max(0, want - target) + 1 + COVERED_DEVIATIONS * Math.sqrt(want);
        targets.set(id, target);
        rooms.set(id, room);
        left -= target;
        wholeRoom += room;
    });
    const spare = Math.max(0, left - wholeRoom);
    const factor = level < Infinity ? 0 : Math.min(1, left / wholeRoom) + GRANTED_SHARE_OF_SPARE * spare / wholeRoom;
    targets.forEach((target, id) => {
        const added = Math.floor((rooms.get(id) ?? 0) * factor);
        targets.set(id, target + added);
        left -= added;
    });
    if (spare === 0) {
        addRemainder(targets, demands, left);
    }
    return targets;
}
function addRemainder(targets, demands, remainder) {
    const ranked = [...demands].map(([id, { isRefused, used, wanted }]) => {
        const target = targets.get(id) ?? 0;
        return { id, rank: (isRefused ? 2 : 0) + (used >= target ? 1 : 0), unmet: wanted - target };
    }).sort((left, right) => right.rank - left.rank || right.unmet - left.unmet);
    for (const { id } of ranked.slice(0, remainder)) {
        targets.set(id, (targets.get(id) ?? 0) + 1);
    }
}

// src/coordination/quotas/TenantLimits.ts
function computeWindowLimit({ burst, ratePerSecond }, windowMs) {
    return ratePerSecond * windowMs / MS_PER_SECOND + burst;
}
var FNV_OFFSET2 = 2166136261;
var FNV_PRIME2 = 16777619;
var TenantLimits = class {
    #limits;
    #indexByName;
    /** Hash of the names in their order; equal where the numbers of tenants mean the same. */
    hash;
    constructor(tenants) {
        const limits = [];
        for (const { burst, name, ratePerSecond } of tenants) {
            if (ratePerSecond !== void 0 && ratePerSecond > 0) {
                limits.push({ burst: Math.max(0, burst), name, ratePerSecond });
            }
        }
        this.#limits = limits.sort((left, right) => left.name < right.name ? -1 : 1);
        this.#indexByName = new Map(this.#limits.map(({ name }, index) => [name, index]));
        this.hash = hashNames(this.#limits);
    }
    get size() {
        return this.#limits.length;
    }
    list() {
        return this.#limits;
    }
    get(name) {
        const index = this.#indexByName.get(name);
        return index === void 0 ? void 0 : this.#limits[index];
    }
    getByIndex(index) {
        return this.#limits[index];
    }
    findIndex(name) {
        return this.#indexByName.get(name);
    }
    isEqual(other) {
        return this.size === other.size && this.#limits.every((limit, index) => {
            const theirs = other.#limits[index];
            return theirs !== void 0 && limit.name === theirs.name && limit.burst === theirs.burst
                && limit.ratePerSecond === theirs.ratePerSecond;
        });
    }
};
function hashNames(limits) {
    let hash = FNV_OFFSET2;
    for (const { name } of limits) {
        for (let index = 0; index < name.length; index++) {
            hash = Math.imul(hash ^ name.charCodeAt(index), FNV_PRIME2);
        }
        hash = Math.imul(hash ^ 65536, FNV_PRIME2);
    }
    return hash >>> 0;
}

// src/coordination/quotas/QuotaAllocator.ts
var DEMAND_RETENTION_MS = 2e3;
var TARGETS_RETENTION_MS = 50;
var REFUSAL_RETENTION_MS = 1e3;
var CORRECTION_SHARE = 0.1;
var ALLOCATOR_RULES = {
    countsLoansFromArrival: false,
    countsLoansOfOthers: false,
    grantTermMs: GRANT_TERM_MS,
    ignoresOthers: false,
    ledger: GRANT_LEDGER_RULES,
    loanTermMs: LOAN_TERM_MS - CLOCK_MARGIN_MS,
    outlastsLoans: false,
    takesOvertakenDemands: false,
};
var QuotaAllocator = class {
    #run;
    #windowMs;
    #rules;
    #loans = new LoanLedger();
    #grants;
    #holders = /* @__PURE__ */ new Map();
    #tenants = /* @__PURE__ */ new Map();
    #limits;
    #sequence = 0;
    constructor(run2, limits, windowMs, rules = ALLOCATOR_RULES) {
        this.#run = run2;
        this.#limits = limits;
        this.#windowMs = windowMs;
        this.#rules = rules;
        this.#grants = new GrantLedger(windowMs, rules.ledger);
    }
    /** Number of processes that have reported demand lately. */
    get holderCount() {
        return this.#holders.size;
    }
    /** Part of all limits that is lent to this process. */
    readWeight(now) {
        return this.#loans.getWeight(now);
    }
    setLimits(limits) {
        const isRenumbered = limits.hash !== this.#limits.hash;
        this.#limits = limits;
        for (const [name, state] of this.#tenants) {
            if (limits.get(name) === void 0) {
                this.#tenants.delete(name);
            }
            state.targetsAt = -Infinity;
        }
        if (isRenumbered) {
            this.#holders.forEach(holder => {
                holder.tenants = [];
            });
            this.#tenants.forEach(({ demands }) => demands.clear());
        }
    }
    /** Ends loans and grants whose terms are over, and forgets daemons that are silent. */
    advance(now) {
        this.#loans.expire(now);
        this.#grants.expire(now);
        for (const [key, holder] of this.#holders) {
            if (now - holder.demandAt > DEMAND_RETENTION_MS) {
                this.#holders.delete(key);
                this.#tenants.forEach(({ demands }) => demands.delete(key));
            }
        }
    }
    /**
     * Takes in a daemon's demand and loan. `transitMs` is the longest time that the message can have been on its way,
     * Infinity if that isn't known. Returns false for a message that was overtaken.
     */
    handleDemand(id, demand, transitMs, now) {
        const key = `${id}/${demand.run}`;
        const holder = this.#holders.get(key) ?? this.#addHolder(id, demand.run, key);
        if (demand.sequence <= holder.demandSequence && !this.#rules.takesOvertakenDemands) {
            return false;
        }
        holder.demandSequence = Math.max(holder.demandSequence, demand.sequence);
        holder.demandAt = now;
        if (demand.table !== this.#limits.hash) {
            return true;
        }
        const isForThisRun = demand.allocatorRun === this.#run;
        if (isForThisRun || this.#rules.countsLoansOfOthers) {
            this.#recordLoan(holder, demand, transitMs, now);
        }
        if (isForThisRun) {
            const uses = /* @__PURE__ */ new Map();
            for (const { tenant, used } of demand.entries) {
                const name = this.#limits.getByIndex(tenant)?.name;
                if (name !== void 0 && used > 0) {
                    uses.set(name, used);
                }
            }
            this.#grants.acknowledge(key, demand.grantSequence, uses, now);
            for (const sequence of holder.sentAt.keys()) {
                if (sequence < demand.grantSequence) {
                    holder.sentAt.delete(sequence);
                }
            }
        }
        this.#recordDemand(holder, demand, now);
        return true;
    }
    /** Makes a grant for a daemon's process; undefined if that has reported no demand lately. */
    buildGrant(id, run2, now) {
        const key = `${id}/${run2}`;
        const holder = this.#holders.get(key);
        if (holder === void 0) {
            return void 0;
        }
        this.#grants.expire(now);
        const endsAt = now + this.#rules.grantTermMs;
        const weight = this.#loans.getWeight(this.#rules.outlastsLoans ? now : endsAt);
        const quotas = /* @__PURE__ */ new Map();
        const entries = [];
        for (const tenant of holder.tenants) {
            const name = this.#limits.getByIndex(tenant)?.name;
            const quota = name === void 0 ? 0 : this.#planQuota(name, key, weight, now);
            if (name !== void 0 && quota > 0) {
                quotas.set(name, quota);
                entries.push({ quota, tenant });
            }
        }
        const sequence = ++this.#sequence;
        this.#grants.record(key, sequence, endsAt, quotas);
        holder.sentAt.set(sequence, now);
        return {
            demandSequence: holder.demandSequence,
            entries,
            holderRun: run2,
            run: this.#run,
            sequence,
            table: this.#limits.hash,
        };
    }
    /**
     * Lists the daemons that should be told of a new grant before their next demand: those that hold more than their
     * target while others lack it, and those that lack what has become free.
     */
    listDue(now) {
        this.advance(now);
        const due = /* @__PURE__ */ new Set();
        const weight = this.#loans.getWeight(now + this.#rules.grantTermMs);
        for (const [name, state] of this.#tenants) {
            if (state.isShort) {
                state.isShort = false;
                this.#addDue(name, state, weight, now, due);
            }
        }
        return [...due].flatMap(key => {
            const holder = this.#holders.get(key);
            return holder === void 0 ? [] : [{ id: holder.id, run: holder.run }];
        });
    }
    /** What the daemons may be using of a tenant's limit. */
    listShares(name) {
        return [...this.#holders.values()].flatMap(({ id, key }) => {
            const quota = this.#grants.get(key, name);
            return quota === 0 ? [] : [{ id, quota }];
        });
    }
    #addHolder(id, run2, key) {
        const holder = {
            demandAt: -Infinity,
            demandSequence: 0,
            id,
            key,
            run: run2,
            sentAt: /* @__PURE__ */ new Map(),
            tenants: [],
        };
        this.#holders.set(key, holder);
        return holder;
    }
    /** The lender sent its loan after it had taken the grant that it names, and at most `transitMs` ago. */
    #recordLoan(holder, demand, transitMs, now) {
        if (demand.shareDivisor <= 0) {
            return;
        }
        const knownSince = Math.max(now - transitMs, holder.sentAt.get(demand.grantSequence) ?? -Infinity);
        const endsAt = (this.#rules.countsLoansFromArrival ? now : knownSince) + this.#rules.loanTermMs;
        if (endsAt > now) {
            this.#loans.record(holder.id, 1 / demand.shareDivisor, endsAt);
        }
    }
    #recordDemand(holder, demand, now) {
        const { key } = holder;
        const named = /* @__PURE__ */ new Set();
        for (const { refused, tenant, used, wanted } of demand.entries) {
            const name = this.#limits.getByIndex(tenant)?.name;
            if (name !== void 0) {
                named.add(tenant);
                const { demands } = this.#getTenant(name);
                const refusedAt = refused > 0 ? now : demands.get(key)?.refusedAt ?? -Infinity;
                demands.set(key, { refusedAt, used, wanted });
            }
        }
        for (const tenant of holder.tenants) {
            if (!named.has(tenant)) {
                this.#tenants.get(this.#limits.getByIndex(tenant)?.name ?? "")?.demands.delete(key);
            }
        }
        holder.tenants = [...named];
    }
    #planQuota(name, key, weight, now) {
        const state = this.#getTenant(name);
        const target = this.#getTarget(name, state, key, weight, now);
        const others = this.#rules.ignoresOthers ? 0 : this.#grants.getTotal(name) - this.#grants.get(key, name);
        const quota = Math.max(0, Math.min(target, this.#computeAmount(name, weight) - others));
        if (isBelow(quota, target)) {
            state.isShort = true;
        }
        return quota;
    }
    /** Requests within a window that may be granted to all daemons together. */
    #computeAmount(name, weight) {
        const limit = this.#limits.get(name);
        return limit === void 0 ? 0 : Math.floor(computeWindowLimit(limit, this.#windowMs) * weight);
    }
    #getTarget(name, state, key, weight, now) {
        if (now - state.targetsAt >= TARGETS_RETENTION_MS) {
            state.targetsAt = now;
            const demands = new Map([...state.demands].map(([id, { refusedAt, used, wanted }]) => {
                return [id, { isRefused: now - refusedAt < REFUSAL_RETENTION_MS, used, wanted }];
            }));
            state.targets = computeTargets(demands, this.#computeAmount(name, weight));
        }
        return state.targets.get(key) ?? 0;
    }
    #addDue(name, state, weight, now, due) {
        for (const key of state.demands.keys()) {
            const target = this.#getTarget(name, state, key, weight, now);
            const last = this.#grants.getLast(key, name);
            if (isBelow(target, last)) {
                due.add(key);
            }
            else if (isBelow(last, target)) {
                state.isShort = true;
                const free = this.#computeAmount(name, weight) - this.#grants.getTotal(name);
                if (free >= 1) {
                    due.add(key);
                }
            }
        }
    }
    #getTenant(name) {
        const existing = this.#tenants.get(name);
        if (existing !== void 0) {
            return existing;
        }
        const state = {
            demands: /* @__PURE__ */ new Map(),
            isShort: false,
            targets: /* @__PURE__ */ new Map(),
            targetsAt: -Infinity,
        };
        this.#tenants.set(name, state);
        return state;
    }
};
function isBelow(quota, target) {
    return quota < target * (1 - CORRECTION_SHARE);
}

// src/coordination/quotas/DemandEstimate.ts
var FAST_TIME_MS = 700;
var SLOW_TIME_MS = 3e3;
var DemandEstimate = class {
    #fast = 0;
    #slow = 0;
    #at;
    /** Time of the last request. */
    lastAt = -Infinity;
    constructor(now) {
        this.#at = now;
    }
    record(now) {
        this.#advance(now);
        this.#fast += MS_PER_SECOND / FAST_TIME_MS;
        this.#slow += MS_PER_SECOND / SLOW_TIME_MS;
        this.lastAt = now;
    }
    /** Requests a second: the higher average, so that demand rises at once and falls slowly. */
    read(now) {
        this.#advance(now);
        const noise = Math.sqrt(this.#fast * MS_PER_SECOND / (2 * FAST_TIME_MS));
        return Math.max(this.#fast - noise, this.#slow);
    }
    #advance(now) {
        const elapsed = now - this.#at;
        if (elapsed > 0) {
            this.#fast *= Math.exp(-elapsed / FAST_TIME_MS);
            this.#slow *= Math.exp(-elapsed / SLOW_TIME_MS);
            this.#at = now;
        }
    }
};

// src/coordination/quotas/Pacer.ts
var MINIMUM_DEPTH = 8;
var RATE_HEADROOM = 1.05;
var Pacer = class {
    #contents = 0;
    #depth = 0;
    #ratePerSecond = 0;
    #at;
    constructor(now) {
        this.#at = now;
    }
    /** `burstShare` is the part of the quota that may come at once. */
    setQuota(quota, burstShare, windowMs, now) {
        this.advance(now);
        const depth = Math.min(quota, Math.max(MINIMUM_DEPTH, quota * burstShare));
        this.#contents = Math.max(0, Math.min(depth, this.#contents + Math.max(0, depth - this.#depth)));
        this.#depth = depth;
        this.#ratePerSecond = quota * RATE_HEADROOM / windowMs * MS_PER_SECOND;
    }
    advance(now) {
        if (now > this.#at) {
            this.#contents = Math.min(
                this.#depth,
                this.#contents + this.#ratePerSecond * (now - this.#at) / MS_PER_SECOND,
            );
            this.#at = now;
        }
    }
    /** Time until the next request may come; 0 if it may now. */
    measureWait() {
        return this.#contents >= 1 || this.#ratePerSecond === 0
            ? 0
            : (1 - this.#contents) / this.#ratePerSecond * MS_PER_SECOND;
    }
    take() {
        this.#contents = Math.max(0, this.#contents - 1);
    }
};

// src/coordination/quotas/WindowCounter.ts
var SLOTS = 100;
var WindowCounter = class {
    #slotMs;
    #counts = new Uint32Array(SLOTS + 1);
    /** Number of the newest slot. */
    #slot = -Infinity;
    #used = 0;
    constructor(windowMs) {
        this.#slotMs = windowMs / SLOTS;
    }
    /** Requests within the window that ends at `now`. */
    read(now) {
        this.#advance(now);
        return this.#used;
    }
    add(now) {
        this.#advance(now);
        const index = this.#slot % this.#counts.length;
        this.#counts[index] = (this.#counts[index] ?? 0) + 1;
        this.#used++;
    }
    /** Time until `count` of the requests have left the window; a window if there are fewer. */
    measureUntilFree(count, now) {
        this.#advance(now);
        let left = count;
        for (let age = SLOTS; age >= 0; age--) {
            left -= this.#counts[(this.#slot - age + this.#counts.length) % this.#counts.length] ?? 0;
            if (left <= 0) {
                return (this.#slot - age + this.#counts.length) * this.#slotMs - now;
            }
        }
        return SLOTS * this.#slotMs;
    }
    #advance(now) {
        const slot = Math.floor(now / this.#slotMs);
        if (slot <= this.#slot) {
            return;
        }
        const first = Math.max(this.#slot + 1, slot - SLOTS);
        for (let passed = first; passed <= slot; passed++) {
            const index = (passed % this.#counts.length + this.#counts.length) % this.#counts.length;
            this.#used -= this.#counts[index] ?? 0;
            this.#counts[index] = 0;
        }
        this.#slot = slot;
    }
};

// src/coordination/quotas/QuotaHolder.ts
var STANDING_TIME_MS = 3e4;
var MINIMUM_RETRY_MS = 150;
var LOWERED_SHARE = 0.9;
var HOLDER_RULES = {
    countsFromArrival: false,
    grantTermMs: GRANT_TERM_MS - CLOCK_MARGIN_MS,
    hidesUses: false,
    ignoresEnd: false,
    takesOvertakenGrants: false,
    usesLentShare: false,
};
var QuotaHolder = class {
    #lender;
    #rules;
    #windowMs;
    #limits;
    #tenants = /* @__PURE__ */ new Map();
    /** The newest grant of each process of an allocator. */
    #grants = /* @__PURE__ */ new Map();
    #usesOwnShare = false;
    #ownDivisor = 0;
    #refused = 0;
    #wasLowered = false;
    constructor(limits, lender, windowMs, now, rules = HOLDER_RULES) {
        this.#limits = limits;
        this.#lender = lender;
        this.#windowMs = windowMs;
        this.#rules = rules;
        this.setLimits(limits, now);
    }
    /** Whether a request was refused since the last demand. */
    get hasUnservedDemand() {
        return this.#refused > 0;
    }
    /** Whether the last grant has lowered the quota of a tenant. */
    get wasLowered() {
        return this.#wasLowered;
    }
    /** Puts other limits in force. Uses of the tenants that remain still count. */
    setLimits(limits, now) {
        this.settle(now);
        const before = this.#tenants;
        this.#limits = limits;
        this.#tenants = new Map(
            limits.list().map(limit => {
                const state = before.get(limit.name) ?? this.#createState(limit, now);
                state.limit = limit;
                return [limit.name, state];
            }),
        );
        this.#updateAll(now);
    }
    /**
     * Takes a request's part of the limit. Returns undefined if it may proceed, otherwise the time after which its caller
     * should come again: when there will be room for it, behind those that were told to come before.
     */
    take(name, now) {
        const state = this.#tenants.get(name);
        if (state === void 0) {
            return void 0;
        }
        this.settle(now);
        state.demand.record(now);
        state.pacer.advance(now);
        const used = state.uses.read(now);
        const pauseMs = state.pacer.measureWait();
        if (used + 1 <= state.quota && pauseMs === 0) {
            state.uses.add(now);
            state.pacer.take();
            state.servedTotal++;
            return void 0;
        }
        state.refused++;
        state.refusedTotal++;
        this.#refused++;
        return this.#estimateRetry(state, used, pauseMs, now);
    }
    /** Puts a grant in force, if it is newer than the last one of its process. `sentAt` is when its demand was sent. */
    applyGrant(grant, sentAt, now) {
        this.settle(now);
        const before = this.#grants.get(grant.run);
        const isOvertaken = before !== void 0 && grant.sequence <= before.sequence;
        const endsAt = (this.#rules.countsFromArrival ? now : sentAt) + this.#rules.grantTermMs;
        if (isOvertaken && !this.#rules.takesOvertakenGrants || endsAt <= now) {
            return false;
        }
        const quotas = /* @__PURE__ */ new Map();
        if (grant.table === this.#limits.hash) {
            for (const { quota, tenant } of grant.entries) {
                const name = this.#limits.getByIndex(tenant)?.name;
                if (name !== void 0) {
                    quotas.set(name, quota);
                }
            }
        }
        this.#grants.set(grant.run, { endsAt, quotas, sequence: grant.sequence });
        this.#wasLowered = false;
        for (const name of /* @__PURE__ */ new Set([...before?.quotas.keys() ?? [], ...quotas.keys()])) {
            this.#wasLowered ||= (quotas.get(name) ?? 0) < (before?.quotas.get(name) ?? 0) * LOWERED_SHARE;
            const state = this.#tenants.get(name);
            if (state !== void 0) {
                this.#updateQuota(state, now);
            }
        }
        return true;
    }
    /** Sequence number of the last grant of an allocator's process that was taken; 0 before the first. */
    getGrantSequence(run2) {
        return this.#grants.get(run2)?.sequence ?? 0;
    }
    /** Ends grants whose term is over, and starts or stops the use of the own share. */
    settle(now) {
        let hasChanged = false;
        for (const [run2, { endsAt }] of this.#grants) {
            if (endsAt <= now && !this.#rules.ignoresEnd) {
                this.#grants.delete(run2);
                hasChanged = true;
            }
        }
        const usesOwnShare = now >= this.#lender.ownFrom || this.#rules.usesLentShare;
        if (usesOwnShare !== this.#usesOwnShare || usesOwnShare && this.#ownDivisor !== this.#lender.divisor) {
            this.#usesOwnShare = usesOwnShare;
            this.#ownDivisor = this.#lender.divisor;
            hasChanged = true;
        }
        if (hasChanged) {
            this.#updateAll(now);
        }
    }
    /** Demand of the tenants seen lately; the requests refused until now count as reported. */
    takeDemand(now) {
        this.settle(now);
        const entries = [];
        this.#limits.list().forEach(({ name }, tenant) => {
            const state = this.#tenants.get(name);
            if (state === void 0 || now - state.demand.lastAt > STANDING_TIME_MS) {
                return;
            }
            entries.push({
                refused: state.refused,
                tenant,
                used: this.#rules.hidesUses ? 0 : state.uses.read(now),
                wanted: Math.ceil(state.demand.read(now) * this.#windowMs / MS_PER_SECOND),
            });
            state.refused = 0;
        });
        this.#refused = 0;
        return entries;
    }
    /** Requests a second of all limited tenants together. */
    readTotalDemand(now) {
        let sum = 0;
        for (const { demand } of this.#tenants.values()) {
            sum += now - demand.lastAt > STANDING_TIME_MS ? 0 : demand.read(now);
        }
        return sum;
    }
    /** Use of all limited tenants, in the order of their names. */
    list(now) {
        this.settle(now);
        return [...this.#tenants.values()].map(state => ({
            demandPerSecond: state.demand.read(now),
            limit: state.limit,
            quota: state.quota,
            refused: state.refusedTotal,
            served: state.servedTotal,
            used: state.uses.read(now),
        }));
    }
    #createState(limit, now) {
        return {
            demand: new DemandEstimate(now),
            limit,
            pacer: new Pacer(now),
            promisedAt: -Infinity,
            quota: 0,
            refused: 0,
            refusedTotal: 0,
            servedTotal: 0,
            uses: new WindowCounter(this.#windowMs),
        };
    }
    #updateAll(now) {
        for (const state of this.#tenants.values()) {
            this.#updateQuota(state, now);
        }
    }
    #updateQuota(state, now) {
        const most = computeWindowLimit(state.limit, this.#windowMs);
        let quota = this.#usesOwnShare && this.#ownDivisor > 0 ? most / this.#ownDivisor : 0;
        for (const { quotas } of this.#grants.values()) {
            quota += quotas.get(state.limit.name) ?? 0;
        }
        state.quota = Math.min(most, quota);
        state.pacer.setQuota(state.quota, state.limit.burst / most, this.#windowMs, now);
    }
    /** Callers that are refused come back one after the other, as room for them becomes free. */
    #estimateRetry(state, used, pauseMs, now) {
        const most = computeWindowLimit(state.limit, this.#windowMs);
        const stepMs = this.#windowMs / Math.max(state.quota, most / Math.max(1, this.#lender.divisor));
        const excess = used + 1 - state.quota;
        const freeMs = excess <= 0 ? pauseMs : state.quota < 1 ? stepMs : state.uses.measureUntilFree(excess, now);
        const at = Math.max(now + freeMs, state.promisedAt + stepMs);
        state.promisedAt = Math.min(at, now + this.#windowMs);
        return Math.ceil(Math.min(this.#windowMs, Math.max(MINIMUM_RETRY_MS, at - now)));
    }
};

// src/coordination/quotas/ShareLender.ts
var LENDER_RULES = {
    growthDelayMs: SHARE_GROWTH_DELAY_MS,
    lendsTwice: false,
    loanTermMs: LOAN_TERM_MS,
    rests: true,
    spreadMs: MEMBER_SPREAD_MS,
};
var ShareLender = class {
    #rules;
    #restMs;
    #startsAt;
    #loan;
    #isEnded = false;
    /** Numbers of daemons seen lately, the largest first, each with the time at which it was last seen. */
    #counts = [];
    /**
     * `isFirst` says that this daemon has never run before. Otherwise an earlier process may have lent the share, or have
     * used it, just before it ended.
     */
    constructor(startedAt, windowMs, isFirst, rules = LENDER_RULES) {
        this.#rules = rules;
        this.#restMs = rules.rests ? windowMs : 0;
        this.#startsAt = startedAt
            + (isFirst ? rules.spreadMs : Math.max(rules.spreadMs, rules.loanTermMs + this.#restMs));
    }
    /** Records how many daemons there are. A larger number divides the share at once, a smaller one after a while. */
    recordCount(count, now) {
        this.#counts = this.#counts.filter(
            entry => entry.count > count && now - entry.seenAt < this.#rules.growthDelayMs,
        );
        this.#counts.push({ count: Math.max(1, count), seenAt: now });
    }
    /** Daemons among which the limits are divided; 0 while that isn't known. */
    get divisor() {
        return this.#counts[0]?.count ?? 0;
    }
    /** Time from which this daemon may use its own share, unless it is lent again before. */
    get ownFrom() {
        return this.#isEnded ? Infinity : Math.max(this.#startsAt, (this.#loan?.endsAt ?? -Infinity) + this.#restMs);
    }
    /** Whether a loan to this allocator is not over. */
    isLentTo(allocatorId, now) {
        return this.#loan !== void 0 && this.#loan.allocatorId === allocatorId && now < this.#loan.endsAt;
    }
    /** Lends the share to a process of an allocator, and returns its divisor; 0 if it can't be lent now. */
    lend(allocatorId, allocatorRun, now) {
        const isElsewhere = this.#loan !== void 0 && now < this.#loan.endsAt + this.#restMs
            && (this.#loan.allocatorId !== allocatorId || this.#loan.allocatorRun !== allocatorRun);
        if (
            this.#isEnded || allocatorRun === 0 || now < this.#startsAt || isElsewhere && !this.#rules.lendsTwice
            || this.divisor === 0
        ) {
            return 0;
        }
        this.#loan = { allocatorId, allocatorRun, endsAt: now + this.#rules.loanTermMs };
        return this.divisor;
    }
    /** Gives the share up for good, before the others stop counting this daemon. */
    end() {
        this.#isEnded = true;
    }
};

// src/coordination/quotas/QuotaClient.ts
var BUSY_INTERVAL_MS = 500;
var IDLE_INTERVAL_MS = 1e3;
var URGENT_INTERVAL_MS = 100;
var URGENT_BACKOFF = 1.5;
var CHANGE_SHARE = 0.25;
var CLIENT_RULES = { holder: HOLDER_RULES, lender: LENDER_RULES };
var QuotaClient = class {
    lender;
    holder;
    #run;
    /** Processes of allocators, by daemon. */
    #runs = /* @__PURE__ */ new Map();
    /** When demands were sent whose grants may still come, by sequence number. */
    #sentAt = /* @__PURE__ */ new Map();
    #limits;
    #sequence = 0;
    #current;
    /** Allocator before the current one, which has this daemon's loan until it ends. */
    #former;
    #lastSentAt = -Infinity;
    #urgentIntervalMs = URGENT_INTERVAL_MS;
    #isAnswerDue = false;
    #lastTotal = 0;
    constructor(options, now, rules = CLIENT_RULES) {
        const { isFirst, limits, run: run2, windowMs } = options;
        this.#run = run2;
        this.#limits = limits;
        this.lender = new ShareLender(now, windowMs, isFirst, rules.lender);
        this.holder = new QuotaHolder(limits, this.lender, windowMs, now, rules.holder);
    }
    get run() {
        return this.#run;
    }
    setLimits(limits, now) {
        this.#limits = limits;
        this.holder.setLimits(limits, now);
        this.#isAnswerDue = true;
    }
    /** Sets the allocator; the former one is told the demand until the loan to it ends. */
    setAllocator(id) {
        if (id !== this.#current) {
            this.#former = this.#current ?? this.#former;
            this.#current = id;
            this.#isAnswerDue = true;
        }
    }
    /** Whether a demand should be sent now. */
    isDue(now) {
        const elapsed = now - this.#lastSentAt;
        if (elapsed < BUSY_INTERVAL_MS) {
            return elapsed >= this.#urgentIntervalMs && (this.holder.hasUnservedDemand || this.#isAnswerDue);
        }
        return elapsed >= IDLE_INTERVAL_MS || this.holder.hasUnservedDemand || this.#hasChanged(now);
    }
    /** Makes the demands that are due, one for each allocator that has to know; the current one gets the loan. */
    buildDemands(now) {
        const isUrgent = now - this.#lastSentAt < BUSY_INTERVAL_MS;
        this.#urgentIntervalMs = isUrgent
            ? Math.min(BUSY_INTERVAL_MS, this.#urgentIntervalMs * URGENT_BACKOFF)
            : Math.max(URGENT_INTERVAL_MS, this.#urgentIntervalMs / URGENT_BACKOFF);
        this.#lastSentAt = now;
        this.#isAnswerDue = false;
        this.#lastTotal = this.holder.readTotalDemand(now);
        for (const [sequence, sentAt] of this.#sentAt) {
            if (now - sentAt > GRANT_TERM_MS) {
                this.#sentAt.delete(sequence);
            }
        }
        const former = this.#former !== void 0 && this.lender.isLentTo(this.#former, now) ? this.#former : void 0;
        const entries = this.holder.takeDemand(now);
        return [.../* @__PURE__ */ new Set([former, this.#current])].filter(id => id !== void 0).map(allocatorId => {
            const allocatorRun = this.#runs.get(allocatorId) ?? 0;
            const shareDivisor = allocatorId === this.#current ? this.lender.lend(allocatorId, allocatorRun, now) : 0;
            this.holder.settle(now);
            this.#sequence++;
            this.#sentAt.set(this.#sequence, now);
            const demand = {
                allocatorRun,
                entries,
                grantSequence: this.holder.getGrantSequence(allocatorRun),
                run: this.#run,
                sequence: this.#sequence,
                shareDivisor,
                table: this.#limits.hash,
            };
            return { allocatorId, demand };
        });
    }
    /** Puts a grant in force; false if it is for an earlier process, was overtaken or is over. */
    handleGrant(allocatorId, grant, now) {
        const sentAt = this.#sentAt.get(grant.demandSequence);
        if (grant.holderRun !== this.#run || sentAt === void 0) {
            return false;
        }
        if (this.#runs.get(allocatorId) !== grant.run) {
            this.#runs.set(allocatorId, grant.run);
            this.#isAnswerDue = true;
        }
        const isTaken = this.holder.applyGrant(grant, sentAt, now);
        if (isTaken && this.holder.wasLowered) {
            this.#isAnswerDue = true;
        }
        return isTaken;
    }
    #hasChanged(now) {
        const total = this.holder.readTotalDemand(now);
        return Math.abs(total - this.#lastTotal) > CHANGE_SHARE * Math.max(1, this.#lastTotal);
    }
};

// src/coordination/quotas/__tests__/fixtures/QuotaMesh.ts
var MESH_RULES = { allocator: ALLOCATOR_RULES, client: CLIENT_RULES, isAlwaysFirst: false };
var WINDOW_MS = 5e3;
var TICK_MS = 50;
var DETECTION_MS = 1200;
var PROBE_TICKS = 8;
var QuotaMesh = class {
    constructor(count, tenants, transmit, random, rules = MESH_RULES) {
        this.transmit = transmit;
        this.random = random;
        this.#rules = rules;
        const limits = new TenantLimits(tenants);
        for (let index = 0; index < count; index++) {
            this.daemons.push({
                ...this.#createProcess(limits, 0),
                frozenUntil: -Infinity,
                heardAt: new Array(count).fill(0),
                id: `erie-${index}`,
                inbox: [],
                index,
                limits,
                offsetMs: 0,
                version: 0,
            });
            this.restart(index);
            this.#scheduleTick(index, random() * TICK_MS);
        }
    }
    transmit;
    random;
    daemons = [];
    /** Times of the requests that proceeded, by tenant. */
    served = /* @__PURE__ */ new Map();
    refused = /* @__PURE__ */ new Map();
    demandBytes = 0;
    messages = 0;
    now = 0;
    #events = [];
    #rules;
    #order = 0;
    #runs = 0;
    /** Loses all state of a daemon; its clock begins anew. */
    restart(index) {
        const daemon = this.daemons[index];
        daemon.offsetMs = Math.floor(this.random() * 1e6) - this.now;
        daemon.frozenUntil = -Infinity;
        daemon.inbox.length = 0;
        daemon.heardAt.fill(this.now);
        Object.assign(daemon, this.#createProcess(daemon.limits, this.#readClock(daemon)));
    }
    /** Stops a daemon for a while; its clock misses `lostMs` of that. */
    freeze(index, forMs, lostMs) {
        const daemon = this.daemons[index];
        daemon.frozenUntil = Math.max(daemon.frozenUntil, this.now + forMs);
        this.schedule(forMs, () => {
            if (daemon.frozenUntil <= this.now) {
                daemon.offsetMs -= lostMs;
                daemon.inbox.splice(0).forEach(handle => handle());
            }
        });
    }
    /** Puts other limits in force at one daemon, unless it has those of a later version. */
    setLimits(index, tenants, version) {
        const daemon = this.daemons[index];
        if (version <= daemon.version) {
            return;
        }
        daemon.version = version;
        daemon.limits = new TenantLimits(tenants);
        this.#handle(daemon, () => {
            daemon.client.setLimits(daemon.limits, this.#readClock(daemon));
            daemon.allocator.setLimits(daemon.limits);
        });
    }
    /** Sends a request of a tenant; returns whether it may proceed. */
    request(index, tenant) {
        const daemon = this.daemons[index];
        if (daemon.frozenUntil >= this.now) {
            return false;
        }
        if (daemon.client.holder.take(tenant, this.#readClock(daemon)) !== void 0) {
            this.refused.set(tenant, (this.refused.get(tenant) ?? 0) + 1);
            return false;
        }
        const times = this.served.get(tenant) ?? [];
        times.push(this.now);
        this.served.set(tenant, times);
        return true;
    }
    schedule(delayMs, run2) {
        const event = { at: this.now + delayMs, order: this.#order++, run: run2 };
        let low = 0;
        let high = this.#events.length;
        while (low < high) {
            const middle = low + high >>> 1;
            const other = this.#events[middle];
            if (other.at > event.at || other.at === event.at && other.order > event.order) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        this.#events.splice(low, 0, event);
    }
    runUntil(end) {
        for (let next = this.#events.at(-1); next !== void 0 && next.at <= end; next = this.#events.at(-1)) {
            this.#events.pop();
            this.now = next.at;
            next.run();
        }
        this.now = end;
    }
    /** Number of requests that proceeded from `begin` to `end`. */
    countServed(tenant, begin, end) {
        return (this.served.get(tenant) ?? []).filter(at => at >= begin && at < end).length;
    }
    #createProcess(limits, clock) {
        const run2 = ++this.#runs;
        const isFirst = this.now === 0 || this.#rules.isAlwaysFirst;
        return {
            allocator: new QuotaAllocator(run2, limits, WINDOW_MS, this.#rules.allocator),
            choice: new AllocatorChoice(),
            client: new QuotaClient({ isFirst, limits, run: run2, windowMs: WINDOW_MS }, clock, this.#rules.client),
            startedAt: this.now,
        };
    }
    #readClock(daemon) {
        return this.now + daemon.offsetMs;
    }
    #scheduleTick(index, delayMs) {
        this.schedule(delayMs, () => {
            this.#scheduleTick(index, TICK_MS);
            const daemon = this.daemons[index];
            if (daemon.frozenUntil <= this.now) {
                this.#tick(daemon);
            }
        });
    }
    #tick(daemon) {
        const clock = this.#readClock(daemon);
        daemon.client.lender.recordCount(this.daemons.length, clock);
        this.#probe(daemon, clock);
        if (daemon.client.isDue(clock)) {
            for (const { allocatorId, demand } of daemon.client.buildDemands(clock)) {
                this.#sendDemand(daemon, this.#find(allocatorId), demand);
            }
        }
        for (const { id, run: run2 } of daemon.allocator.listDue(clock)) {
            this.#sendGrant(daemon, this.#find(id), run2);
        }
    }
    /** Hears of the other daemons as by pings, and chooses the allocator. */
    #probe(daemon, clock) {
        if (Math.floor(this.now / TICK_MS) % PROBE_TICKS !== daemon.index % PROBE_TICKS) {
            return;
        }
        const reachable = [];
        for (const { frozenUntil, id, index, startedAt } of this.daemons) {
            const isAnswered = index === daemon.index
                || frozenUntil <= this.now && this.transmit(daemon.index, index, this.now).delaysMs.length > 0
                    && this.transmit(index, daemon.index, this.now).delaysMs.length > 0;
            if (isAnswered) {
                daemon.heardAt[index] = this.now;
            }
            if (this.now - (daemon.heardAt[index] ?? 0) < DETECTION_MS) {
                reachable.push({ id, startedAt });
            }
        }
        daemon.client.setAllocator(daemon.choice.update(reachable, clock));
    }
    #sendDemand(from, to, demand) {
        this.#transmit(from, to, transitMs => {
            if (to.allocator.handleDemand(from.id, demand, transitMs, this.#readClock(to))) {
                this.#sendGrant(to, from, demand.run);
            }
        });
    }
    #sendGrant(from, to, run2) {
        const grant = from.allocator.buildGrant(to.id, run2, this.#readClock(from));
        if (grant !== void 0) {
            this.#transmit(from, to, () => to.client.handleGrant(from.id, grant, this.#readClock(to)));
        }
    }
    #transmit(from, to, handle) {
        this.messages++;
        const sentAt = this.now;
        if (from === to) {
            handle(0);
            return;
        }
        const { delaysMs, slackMs } = this.transmit(from.index, to.index, this.now);
        const process = to.client;
        for (const delay of delaysMs) {
            this.schedule(delay, () =>
                this.#handle(to, () => {
                    if (to.client === process || slackMs === Infinity) {
                        handle(this.now - sentAt + slackMs);
                    }
                }));
        }
    }
    #handle(daemon, action) {
        if (daemon.frozenUntil > this.now) {
            daemon.inbox.push(action);
        }
        else {
            action();
        }
    }
    #find(id) {
        return this.daemons.find(daemon => daemon.id === id);
    }
};

// ../../tmp/share.ts
var TB = class {
    constructor(r, b) {
        this.r = r;
        this.b = b;
        this.c = b;
    }
    r;
    b;
    c = 0;
    at = 0;
    tryTake(now) {
        this.c = Math.min(this.b, this.c + this.r * (now - this.at) / 1e3);
        this.at = now;
        if (this.c >= 1 - 1e-9) {
            this.c--;
            return true;
        }
        return false;
    }
};
function poisson(r, m) {
    let k = 0;
    let p = Math.exp(-m);
    let s = p;
    const u = r();
    while (u > s && k < 200) {
        k++;
        p *= m / k;
        s += p;
    }
    return k;
}
function run(R, B, N, places, load, end, begin, retry = false) {
    const random = createSeededRandom(7);
    const t = [{ name: "a", ratePerSecond: R, burst: B }];
    const mesh = new QuotaMesh(N, t, () => ({ delaysMs: [0.6 + random() * 3], slackMs: 2 }), random);
    const ideal = new TB(R, B);
    let allowed = 0, offered = 0;
    const step = () => {
        mesh.schedule(20, step);
        const now = mesh.now;
        let sum = 0;
        const w = Array.from({ length: N }, (_, i) => {
            const x = places(i, now);
            sum += x;
            return x;
        });
        for (let i = 0; i < N; i++) {
            const k = poisson(random, load(now) * R * 0.02 * w[i] / sum);
            for (let j = 0; j < k; j++) {
                mesh.request(i, "a");
                if (ideal.tryTake(now) && now >= begin) {
                    allowed++;
                }
                if (now >= begin) { offered++; }
            }
        }
    };
    step();
    mesh.runUntil(end);
    const served = mesh.countServed("a", begin, end);
    return {
        R,
        B,
        served,
        allowed,
        offered,
        share: +(served / allowed).toFixed(3),
        msgs: Math.round(mesh.messages / (end / 1e3)),
    };
}
for (const N of [81]) {
    for (const [R, B] of [[10, 10], [20, 20], [50, 50], [100, 100], [200, 200], [500, 500]]) {
        for (const [nm, load] of [["0.5", 0.5], ["0.8", 0.8], ["1.5", 1.5], ["5", 5]]) {
            const even = run(R, B, N, () => 1, () => load, 3e4, 12e3).share;
            const skew = run(R, B, N, i => 1 / (i + 1), () => load, 3e4, 12e3).share;
            const few = run(R, B, N, i => i < 5 ? 1 : 0, () => load, 3e4, 12e3).share;
            const one = run(R, B, N, i => i === 3 ? 1 : 0, () => load, 3e4, 12e3);
            console.log(R, B, "load", nm, "even", even, "skew", skew, "five", few, "one", one.share, one.msgs);
        }
    }
}
