/** How far a version is in force in the mesh, from the status objects of the store or from a daemon. */
import type { StoreAccess } from "../../coordination/acceptance/index.js";
import type { MeshSummary } from "../../coordination/summary/index.js";

/** Key prefix of the totals that region relays write. */
const STATUS_PREFIX = "status/";

/** A total and who reported it. */
export interface ReportedSummary {
    /** Region of the relay, or id of the daemon. */
    readonly reporter: string;
    readonly summary: MeshSummary;
}

/** Progress of one version. */
export interface Convergence extends ReportedSummary {
    readonly version: number;
    /** Daemons with this version or a newer one in force. */
    readonly inForce: number;
    readonly isConverged: boolean;
}

/** Checks a total that was read from the store or a daemon. */
export function isMeshSummary(value: unknown): value is MeshSummary {
    const summary = value as Partial<MeshSummary> | null | undefined;
    return typeof summary?.daemons === "number" && typeof summary.unsettled === "number"
        && Array.isArray(summary.versions) && Array.isArray(summary.waiting);
}

function parseSummary(text: string): MeshSummary | undefined {
    try {
        const value: unknown = JSON.parse(text);
        return isMeshSummary(value) ? value : undefined;
    }
    catch {
        return undefined;
    }
}

/**
 * Reads the total that counts most daemons: a region that is cut off from the others writes a total
 * of its own side only. Undefined when no relay has written one.
 */
export async function readStoredSummary({ store }: StoreAccess): Promise<ReportedSummary | undefined> {
    const listed = (await store.list(STATUS_PREFIX)).orDefault([]);
    const objects = await Promise.all(listed.map(({ key }) => store.get(key)));
    const summaries = objects.flatMap(result => {
        const object = result.orDefault(undefined);
        const summary = object === undefined ? undefined : parseSummary(object.value);
        return object === undefined || summary === undefined
            ? []
            : [{ reporter: object.key.slice(STATUS_PREFIX.length), summary }];
    });
    return summaries.reduce<ReportedSummary | undefined>(
        (largest, next) => next.summary.daemons > (largest?.summary.daemons ?? -1) ? next : largest,
        undefined,
    );
}

/** Compares a total with the version that has to be in force. */
export function computeConvergence(reported: ReportedSummary, version: number): Convergence {
    const { daemons, versions } = reported.summary;
    const inForce = versions
        .filter(entry => entry.version >= version)
        .reduce((sum, entry) => sum + entry.daemons, 0);
    return { ...reported, inForce, isConverged: daemons > 0 && inForce >= daemons, version };
}

/** Formats the progress as one line. */
export function formatProgress({ inForce, reporter, summary, version }: Convergence): string {
    const unsettled = summary.unsettled > 0 ? `, ${summary.unsettled} not settled yet` : "";
    return `Version ${version} is in force on ${inForce} of ${summary.daemons} daemons${unsettled} `
        + `(reported by ${reporter}).`;
}

/** Formats who holds the version back and what the distribution has cost. */
export function formatDetails({ summary, version }: Convergence): readonly string[] {
    const older = summary.versions.filter(entry => entry.version < version);
    return [
        ...older.map(entry =>
            `  ${entry.daemons} at ${entry.version === 0 ? "no version" : `version ${entry.version}`}`
        ),
        ...summary.waiting.map(entry => `  ${entry.daemons} waiting: ${entry.reason}`),
        `  control bytes: ${summary.controlBytes}, across regions: ${summary.controlBytesAcrossRegions}`,
    ];
}
