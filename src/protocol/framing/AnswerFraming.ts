/** Framing of an answer towards the next hop. Headers are lists of names and values that alternate. */

const LENGTH_NAME = "content-length";

/** Returns the length that the headers state; undefined when they state none. */
export function parseStatedLength(headers: readonly string[]): number | undefined {
    const index = headers.findIndex((part, position) => position % 2 === 0 && part.toLowerCase() === LENGTH_NAME);
    return index < 0 ? undefined : Number(headers[index + 1]);
}

/** Copies the headers with the length of a body that is known as a whole, in place of the stated one. */
export function replaceStatedLength(headers: readonly string[], bodyBytes: number): string[] {
    const copied: string[] = [];
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const name = headers[index] as string;
        if (name.toLowerCase() !== LENGTH_NAME) {
            copied.push(name, headers[index + 1] as string);
        }
    }
    return [...copied, LENGTH_NAME, String(bodyBytes)];
}
