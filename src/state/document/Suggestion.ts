/** Largest share of a word's letters that may differ for a suggestion. */
const MAXIMUM_DISTANCE_RATIO = 0.4;

/** Longest word for which a suggestion is searched; longer ones are no misspelling. */
const MAXIMUM_WORD_LENGTH = 64;

/** Counts the letters to insert, delete or replace to get from one word to the other (Levenshtein). */
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

/** Finds the known word most like a misspelt one; undefined when none is close. */
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

/** Adds a suggestion, or the known words, to what was expected. */
export function describeAlternatives(word: string, known: readonly string[]): string {
    const suggestion = findSuggestion(word, known);
    if (suggestion !== undefined) {
        return `"${suggestion}"`;
    }
    return known.length === 0 ? "none, as none is defined" : `one of ${formatList(known)}`;
}

/** Longest list of words in a message. */
const MAXIMUM_LISTED_WORDS = 12;

function formatList(words: readonly string[]): string {
    const listed = words.slice(0, MAXIMUM_LISTED_WORDS).join(", ");
    return words.length > MAXIMUM_LISTED_WORDS ? `${listed} and ${words.length - MAXIMUM_LISTED_WORDS} more` : listed;
}
