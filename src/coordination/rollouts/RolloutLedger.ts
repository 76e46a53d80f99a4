/**
 * Merges what is known of orders: records may come in any order and more than once. The store's status wins, then a
 * rejection, then a promotion.
 */
import { MAXIMUM_VERSIONS } from "./RolloutConstants.js";
import { DecisionKind, RolloutStage, RolloutState } from "./RolloutTypes.js";
import type {
    OwnerReport,
    Rollout,
    RolloutDecision,
    RolloutOrder,
    RolloutRecords,
    StoredOrder,
} from "./RolloutTypes.js";

interface ServiceRecords {
    order: RolloutOrder;
    readonly reports: Map<string, OwnerReport>;
    readonly decisions: Map<DecisionKind, RolloutDecision>;
}

export class RolloutLedger {
    readonly #services = new Map<string, ServiceRecords>();
    readonly #versions = new Map<string, Set<string>>();

    get isEmpty(): boolean {
        return this.#services.size === 0 && this.#versions.size === 0;
    }

    /** Whether any order was ever learned. */
    get hasOrders(): boolean {
        return this.#services.size > 0;
    }

    find(service: string): Rollout | undefined {
        const records = this.#services.get(service);
        if (records === undefined) {
            return undefined;
        }
        const { decisions, order, reports } = records;
        const decision = decisions.get(DecisionKind.Rejected) ?? decisions.get(DecisionKind.Promoting);
        return { decision, order, reports, stage: computeStage(order, decision) };
    }

    *list(): Generator<Rollout> {
        for (const service of this.#services.keys()) {
            yield this.find(service) as Rollout;
        }
    }

    /** Versions that serve, as far as known; after a final status only those that it leaves in use. */
    listVersions(service: string): ReadonlySet<string> {
        const versions = this.#versions.get(service) ?? new Set();
        const order = this.#services.get(service)?.order;
        if (order === undefined || !isFinal(order.state)) {
            return versions;
        }
        const isTargetInUse = order.state === RolloutState.Succeeded;
        return new Set([...versions].filter(version => (version === order.targetVersion) === isTargetInUse));
    }

    /** Lists all records, without reports on orders that are over. */
    listRecords(): RolloutRecords {
        const services = [...this.#services.values()];
        return {
            decisions: services.flatMap(({ decisions }) => [...decisions.values()]),
            orders: services.map(({ order }) => order),
            reports: services.flatMap(({ order, reports }) => isFinal(order.state) ? [] : [...reports.values()]),
            versions: [...this.#versions].flatMap(([service, versions]) =>
                [...versions].map(softwareVersion => ({ service, softwareVersion }))
            ),
        };
    }

    /** Merges an order that was read from the store. */
    mergeStored(stored: StoredOrder, now: number): RolloutRecords {
        return this.merge({ ...NO_RECORDS, orders: [{ ...stored, base: stored.revision, learnedAt: now }] });
    }

    /** Merges records and returns those that were new. */
    merge({ decisions, orders, reports, versions }: RolloutRecords): RolloutRecords {
        // Reports and decisions refer to orders, which are merged first.
        const newOrders = orders.flatMap(order => this.#mergeOrder(order));
        return {
            decisions: decisions.filter(decision => this.#mergeDecision(decision)),
            orders: newOrders,
            reports: reports.filter(report => this.#mergeReport(report)),
            versions: versions.filter(({ service, softwareVersion }) => this.#addVersion(service, softwareVersion)),
        };
    }

    #mergeOrder(order: RolloutOrder): readonly RolloutOrder[] {
        const records = this.#services.get(order.service);
        const merged = records === undefined ? order : mergeOrders(records.order, order);
        if (records !== undefined && isEqual(records.order, merged)) {
            return [];
        }
        if (records === undefined || isOther(records.order, merged)) {
            this.#services.set(order.service, { decisions: new Map(), order: merged, reports: new Map() });
        }
        else {
            records.order = merged;
        }
        return [merged];
    }

    #mergeDecision(decision: RolloutDecision): boolean {
        const records = this.#services.get(decision.service);
        if (records === undefined || !isOf(decision, records.order) || records.decisions.has(decision.kind)) {
            return false;
        }
        records.decisions.set(decision.kind, decision);
        return true;
    }

    #mergeReport(report: OwnerReport): boolean {
        const records = this.#services.get(report.service);
        const known = records?.reports.get(report.ownerId);
        if (
            records === undefined || !isOf(report, records.order)
            || known !== undefined && known.sequence >= report.sequence
        ) {
            return false;
        }
        records.reports.set(report.ownerId, report);
        return true;
    }

    #addVersion(service: string, softwareVersion: string): boolean {
        const versions = this.#versions.get(service) ?? new Set();
        this.#versions.set(service, versions);
        if (versions.has(softwareVersion)) {
            return false;
        }
        versions.add(softwareVersion);
        const [oldest] = versions;
        if (versions.size > MAXIMUM_VERSIONS && oldest !== undefined) {
            versions.delete(oldest);
        }
        return true;
    }
}

export const NO_RECORDS: RolloutRecords = { decisions: [], orders: [], reports: [], versions: [] };

export function isFinal(state: RolloutState | undefined): boolean {
    return state === RolloutState.Succeeded || state === RolloutState.RolledBack;
}

function computeStage(order: RolloutOrder, decision: RolloutDecision | undefined): RolloutStage {
    switch (order.state) {
        case RolloutState.Succeeded:
            return RolloutStage.Succeeded;
        case RolloutState.RolledBack:
            return RolloutStage.RolledBack;
        default:
            return decision?.kind ?? RolloutStage.Trial;
    }
}

/** Whether a report or a decision is about this order, which may be known by a later revision elsewhere. */
function isOf(
    { orderRevision, targetVersion }: Pick<OwnerReport, "orderRevision" | "targetVersion">,
    order: RolloutOrder,
): boolean {
    return targetVersion === order.targetVersion && orderRevision >= order.base;
}

/**
 * Returns what is known of the order of a service after another record of it. An order with another content and a higher
 * revision replaces it, and so does one that has begun anew after a final status.
 */
function mergeOrders(known: RolloutOrder, other: RolloutOrder): RolloutOrder {
    const [older, newer] = known.revision <= other.revision ? [known, other] : [other, known];
    const isSameContent = older.targetVersion === newer.targetVersion && older.finishByMs === newer.finishByMs;
    if (!isSameContent || isFinal(older.state) && !isFinal(newer.state) && newer.base > older.revision) {
        return newer;
    }
    const final = isFinal(newer.state) ? newer : isFinal(older.state) ? older : undefined;
    if (final === older && newer.base > older.revision) {
        return newer;
    }
    return {
        ...newer,
        base: Math.min(older.base, newer.base),
        learnedAt: Math.min(older.learnedAt, newer.learnedAt),
        state: final?.state ?? newer.state ?? older.state,
    };
}

function isOther(known: RolloutOrder, merged: RolloutOrder): boolean {
    return known.targetVersion !== merged.targetVersion || known.finishByMs !== merged.finishByMs
        || merged.base > known.base;
}

/** Whether two records say the same; times at which daemons learned of an order differ by the transit of messages. */
function isEqual(left: RolloutOrder, right: RolloutOrder): boolean {
    return left.base === right.base && left.revision === right.revision && left.state === right.state
        && left.targetVersion === right.targetVersion && left.finishByMs === right.finishByMs;
}
