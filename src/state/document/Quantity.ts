/** Quantities with units as operators write them: durations, sizes, rates and shares. */

export const QuantityKind = {
    Duration: "duration",
    Size: "size",
    BitRate: "bit rate",
    Frequency: "frequency",
    Share: "share",
} as const;
export type QuantityKind = (typeof QuantityKind)[keyof typeof QuantityKind];

/** Factors from each unit to the base unit: milliseconds, bytes, bits per second, 1/s and a fraction of 1. */
const UNIT_FACTORS: Readonly<Record<QuantityKind, ReadonlyMap<string, number>>> = {
    [QuantityKind.Duration]: new Map([["ms", 1], ["s", 1_000], ["m", 60_000], ["h", 3_600_000], ["d", 86_400_000]]),
    [QuantityKind.Size]: new Map([["B", 1], ["KB", 1_000], ["MB", 1_000_000], ["KiB", 1_024], ["MiB", 1_048_576]]),
    [QuantityKind.BitRate]: new Map([
        ["bit/s", 1],
        ["kbit/s", 1_000],
        ["Mbit/s", 1_000_000],
        ["Gbit/s", 1_000_000_000],
    ]),
    [QuantityKind.Frequency]: new Map([["/s", 1]]),
    [QuantityKind.Share]: new Map([["%", 0.01]]),
};

const QUANTITY_PATTERN = /^(\d{1,12}(?:\.\d{1,6})?) ?([A-Za-z/%]+)$/;

/** Lists the units of a kind, the smallest first for durations and rates. */
export function listUnits(kind: QuantityKind): readonly string[] {
    return [...UNIT_FACTORS[kind].keys()];
}

/** Converts a quantity to its base unit; undefined if the text is not a quantity of this kind. */
export function parseQuantity(kind: QuantityKind, text: string): number | undefined {
    const match = QUANTITY_PATTERN.exec(text);
    const factor = UNIT_FACTORS[kind].get(match?.[2] ?? "");
    if (match?.[1] === undefined || factor === undefined) {
        return undefined;
    }
    // Rounding removes the floating-point error of a factor such as 0.01.
    return Number((Number(match[1]) * factor).toPrecision(12));
}

/** Returns the regular expression of a kind, for the published JSON Schema. */
export function formatQuantityPattern(kind: QuantityKind): string {
    return `^\\d{1,12}(\\.\\d{1,6})? ?(${listUnits(kind).join("|")})$`;
}
