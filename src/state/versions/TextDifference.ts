/**
 * Differences between the texts of two versions: what is taken from the base, and what is new. A text is divided behind each
 * closing brace, so that an entry of a list that has changed, moved or come is one or a few of its segments.
 */

/** A new text, or a range of the base. */
export type DifferencePart = string | readonly [start: number, length: number];

const SEGMENT_PATTERN = /[^}]*\}?/g;

/** Computes the parts that make up `text`, in its order. */
export function computeTextDifference(base: string, text: string): readonly DifferencePart[] {
    const starts = findSegmentStarts(base);
    const parts: DifferencePart[] = [];
    for (const [segment] of text.matchAll(SEGMENT_PATTERN)) {
        if (segment === "") {
            continue;
        }
        const last = parts.at(-1);
        const nextStart = Array.isArray(last) ? last[0] + last[1] : undefined;
        // A segment that stands in the base several times is taken from behind the last one.
        const start = nextStart !== undefined && base.startsWith(segment, nextStart) ? nextStart : starts.get(segment);
        if (start === undefined) {
            parts.push(typeof last === "string" ? `${parts.pop() as string}${segment}` : segment);
        }
        else if (start === nextStart && Array.isArray(last)) {
            parts[parts.length - 1] = [last[0], last[1] + segment.length];
        }
        else {
            parts.push([start, segment.length]);
        }
    }
    return parts;
}

/** Puts a text together; undefined if a part lies outside of the base or the text gets longer than `maximumLength`. */
export function applyTextDifference(
    base: string,
    parts: readonly DifferencePart[],
    maximumLength: number,
): string | undefined {
    const texts: string[] = [];
    let length = 0;
    for (const part of parts) {
        const isOutside = typeof part !== "string" && part[0] + part[1] > base.length;
        const text = typeof part === "string" ? part : base.substring(part[0], part[0] + part[1]);
        length += text.length;
        if (isOutside || length > maximumLength) {
            return undefined;
        }
        texts.push(text);
    }
    return texts.join("");
}

/** Whether a decoded value is a list of parts. */
export function isDifference(value: unknown): value is readonly DifferencePart[] {
    const isPosition = (part: unknown): boolean => Number.isSafeInteger(part) && (part as number) >= 0;
    return Array.isArray(value)
        && value.every((part: unknown) =>
            typeof part === "string" || Array.isArray(part) && part.length === 2 && part.every(isPosition)
        );
}

/** Finds where each segment of a text stands first. */
function findSegmentStarts(text: string): ReadonlyMap<string, number> {
    const starts = new Map<string, number>();
    for (const { 0: segment, index } of text.matchAll(SEGMENT_PATTERN)) {
        if (!starts.has(segment)) {
            starts.set(segment, index);
        }
    }
    return starts;
}
