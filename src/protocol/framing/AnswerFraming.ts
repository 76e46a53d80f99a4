/** Framing of an answer towards the next hop. Headers are lists of names and values that alternate. */

const LENGTH_NAME = "content-length";
const MINIMUM_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
const MAXIMUM_STATUS = 599;
const SWITCHING_PROTOCOLS_STATUS = 101;
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Whether an answer with this status is one (RFC 9110 section 15). A switch of protocols is none, since requests for it
 * are not forwarded.
 */
export function isValidStatus(status: number): boolean {
    return Number.isInteger(status) && status >= MINIMUM_STATUS && status <= MAXIMUM_STATUS
        && status !== SWITCHING_PROTOCOLS_STATUS;
}

export function isFinalStatus(status: number): boolean {
    return isValidStatus(status) && status >= FIRST_FINAL_STATUS;
}

/** Whether an answer with this status ends with its head, whatever its headers say (RFC 9112 section 6.3, item 1). */
export function isBodilessStatus(status: number): boolean {
    return status < FIRST_FINAL_STATUS || BODILESS_STATUSES.has(status);
}

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
