import type { CheckResult } from "./GuaranteeChecks.js";

const MAX_SHOWN_VIOLATIONS = 3;
const LABEL_WIDTH = 48;

/** Figures of one demo run, under the names of the JSON output. */
export interface DemoFigures {
    /** Longest time from a version's acceptance until every daemon had it in force; null when some never had. */
    readonly convergence_ms: number | null;
    readonly control_bytes: number;
    readonly cross_region_bytes: number;
    readonly requests_ok: number;
    readonly requests_failed: number;
    readonly ran_twice: number;
}

/** Number of failed requests by outcome. */
export type FailureCounts = Readonly<Record<string, number>>;

function formatRow(label: string, value: string): string {
    return `  ${label.padEnd(LABEL_WIDTH)}${value}`;
}

function formatCheck({ cases, description, guarantee, violations }: CheckResult): readonly string[] {
    const verdict = violations.length === 0 ? "kept" : `BROKEN (${violations.length})`;
    const shown = violations.slice(0, MAX_SHOWN_VIOLATIONS).map(violation => `      ${violation}`);
    return [formatRow(`${guarantee} ${description}`, `${verdict}, ${cases} checked`), ...shown];
}

/** Renders the figures and the checks as a table. */
export function renderReport(
    title: string,
    figures: DemoFigures,
    failures: FailureCounts,
    checks: readonly CheckResult[],
): string {
    const failed = Object.entries(failures).map(([outcome, count]) => `${count} ${outcome}`).join(", ");
    return [
        title,
        formatRow("Convergence time", figures.convergence_ms === null ? "not reached" : `${figures.convergence_ms} ms`),
        formatRow("Control bytes", String(figures.control_bytes)),
        formatRow("Control bytes across regions", String(figures.cross_region_bytes)),
        formatRow("Requests answered", String(figures.requests_ok)),
        formatRow("Requests failed", `${figures.requests_failed}${failed === "" ? "" : ` (${failed})`}`),
        formatRow("Non-repeatable requests run twice", String(figures.ran_twice)),
        "",
        "Guarantees",
        ...checks.flatMap(formatCheck),
        "",
    ].join("\n");
}
