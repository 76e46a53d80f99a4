/** Maximum edit distance of a suggestion, as a fraction of its length. */
const MAXIMUM_DISTANCE_RATIO = 0.4;

/** Maximum length of a word for which a suggestion is computed; longer texts are not misspellings. */
const MAXIMUM_WORD_LENGTH = 64;

/** Computes the Levenshtein distance between two words. */
function computeEditDistance(from: string, to: string): number {
    let previous = Array.from({ length: to.length + 1 }, (_, index) => index);
    for (let row = 1; row <= from.length; row += 1) {
        const current = [row];
        for (let column = 1; column <= to.length; column += 1) {
            const replaced = (previous[column - 1] ?? 0) + (from[row - 1] === to[column - 1] ? 0 : 1);
            current.push(Math.min(replaced, (previous[column] ?? 0) + 1, (current[column - 1] ?? 0) + 1));
        }
        previous = current;
    }
    return previous[to.length] ?? 0;
}

/** Finds the known word closest to a misspelt one; undefined if none is close enough. */
export function findSuggestion(word: string, known: readonly string[]): string | undefined {
    if (word.length > MAXIMUM_WORD_LENGTH) {
        return undefined;
    }
    let best: { readonly word: string; readonly distance: number; } | undefined;
    for (const candidate of known) {
        const distance = computeEditDistance(word.toLowerCase(), candidate.toLowerCase());
        if (
            distance <= Math.max(1, candidate.length * MAXIMUM_DISTANCE_RATIO)
            && distance < (best?.distance ?? Infinity)
        ) {
            best = { distance, word: candidate };
        }
    }
    return best?.word;
}

/** Describes the accepted words: the closest one, or a list if none is close enough. */
export function describeAlternatives(word: string, known: readonly string[]): string {
    const suggestion = findSuggestion(word, known);
    if (suggestion !== undefined) {
        return `"${suggestion}"`;
    }
    return known.length === 0 ? "none, as none is defined" : `one of ${formatList(known)}`;
}

/** Maximum words listed in a message. */
const MAXIMUM_LISTED_WORDS = 12;

function formatList(words: readonly string[]): string {
    const listed = words.slice(0, MAXIMUM_LISTED_WORDS).join(", ");
    return words.length > MAXIMUM_LISTED_WORDS ? `${listed} and ${words.length - MAXIMUM_LISTED_WORDS} more` : listed;
}
