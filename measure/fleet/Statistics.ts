/** Returns the value below which the share `fraction` of the values lies; NaN if there are none. */
export function computePercentile(values: readonly number[], fraction: number): number {
    const sorted = values.toSorted((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.ceil(fraction * sorted.length) - 1)] ?? NaN;
}

export interface LinearFit {
    readonly intercept: number;
    readonly slope: number;
}

/** Fits a line by least squares. */
export function computeLinearFit(points: readonly { readonly x: number; readonly y: number; }[]): LinearFit {
    const count = points.length;
    const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
    const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
    const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
    const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
    const slope = variance === 0 ? 0 : covariance / variance;
    return { intercept: meanY - slope * meanX, slope };
}

/** Prints rows with right-aligned columns. */
export function printRows(rows: readonly (readonly (string | number)[])[]): void {
    const texts = rows.map(row => row.map(cell => typeof cell === "number" ? formatNumber(cell) : cell));
    const widths = (texts[0] ?? []).map((_, column) => Math.max(...texts.map(row => row[column]?.length ?? 0)));
    for (const row of texts) {
        process.stdout.write(`${row.map((cell, column) => cell.padStart(widths[column] ?? 0)).join("  ")}\n`);
    }
}

function formatNumber(value: number): string {
    return Math.abs(value) >= 100 || Number.isInteger(value) ? value.toFixed(0) : value.toPrecision(3);
}
