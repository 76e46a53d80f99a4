/** Progress of a version in the mesh, from the status objects of the store or the status of a daemon. */
import type { StoreAccess } from "../../coordination/acceptance/index.js";
import type { MeshSummary } from "../../coordination/summary/index.js";

/** Key prefix of the mesh summaries, which the relays of regions write. */
const STATUS_PREFIX = "status/";

/** A mesh summary and its reporter. */
export interface ReportedSummary {
    /** Region of the relay, or id of the daemon. */
    readonly reporter: string;
    readonly summary: MeshSummary;
}

/** Convergence of the mesh on one version; holds the largest summary. */
export interface Convergence extends ReportedSummary {
    readonly version: number;
    /** Number of daemons with this version or a newer one in force. */
    readonly inForce: number;
    /** Other summaries in which some daemons lack the version, for example that of a region that is cut off. */
    readonly behind: readonly ReportedSummary[];
    readonly isConverged: boolean;
}

/** Checks the fields of a summary that are used here. */
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

/** Reads the summaries of all regions. That of a region that is cut off covers only the daemons on its side. */
export async function readStoredSummaries({ store }: StoreAccess): Promise<readonly ReportedSummary[]> {
    const listed = (await store.list(STATUS_PREFIX)).orDefault([]);
    const objects = await Promise.all(listed.map(({ key }) => store.get(key)));
    return objects.flatMap(result => {
        const object = result.orDefault(undefined);
        const summary = object === undefined ? undefined : parseSummary(object.value);
        return object === undefined || summary === undefined
            ? []
            : [{ reporter: object.key.slice(STATUS_PREFIX.length), summary }];
    });
}

function countInForce({ summary }: ReportedSummary, version: number): number {
    return summary.versions
        .filter(entry => entry.version >= version)
        .reduce((sum, entry) => sum + entry.daemons, 0);
}

function isInForceEverywhere(reported: ReportedSummary, version: number): boolean {
    const { daemons } = reported.summary;
    return daemons > 0 && countInForce(reported, version) >= daemons;
}

/**
 * Compares the summaries with the expected version. The result shows the summary with the most
 * daemons, but the mesh has converged only when all summaries agree. Undefined without a summary.
 */
export function computeConvergence(reports: readonly ReportedSummary[], version: number): Convergence | undefined {
    const [largest, ...others] = [...reports].sort((a, b) => b.summary.daemons - a.summary.daemons);
    if (largest === undefined) {
        return undefined;
    }
    const behind = others.filter(reported => !isInForceEverywhere(reported, version));
    const isConverged = behind.length === 0 && isInForceEverywhere(largest, version);
    return { ...largest, behind, inForce: countInForce(largest, version), isConverged, version };
}

/** Formats the progress as one line. */
export function formatProgress({ inForce, reporter, summary, version }: Convergence): string {
    const unsettled = summary.unsettled > 0 ? `, ${summary.unsettled} not settled yet` : "";
    return `Version ${version} is in force on ${inForce} of ${summary.daemons} daemons${unsettled} `
        + `(reported by ${reporter}).`;
}

/** Formats what delays the version and how many control bytes the distribution took. */
export function formatDetails({ behind, summary, version }: Convergence): readonly string[] {
    const older = summary.versions.filter(entry => entry.version < version);
    return [
        ...older.map(entry =>
            `  ${entry.daemons} at ${entry.version === 0 ? "no version" : `version ${entry.version}`}`
        ),
        ...summary.waiting.map(entry => `  ${entry.daemons} waiting: ${entry.reason}`),
        ...behind.map(reported =>
            `  ${reported.reporter} reports ${countInForce(reported, version)} of ${reported.summary.daemons} daemons`
        ),
        `  control bytes: ${summary.controlBytes}, across regions: ${summary.controlBytesAcrossRegions}`,
    ];
}
