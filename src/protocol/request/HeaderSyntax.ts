import { validateHeaderName, validateHeaderValue } from "node:http";

/**
 * Whether all names are tokens of RFC 9110 and no value has a control character; `headers` holds them alternately.
 * Node.js's own parser accepts an empty name everywhere, and names with a space on arm64.
 */
export function isValidHeaderList(headers: readonly string[]): boolean {
    try {
        for (let index = 0; index + 1 < headers.length; index += 2) {
            validateHeaderName(headers[index] as string);
            validateHeaderValue(headers[index] as string, headers[index + 1] as string);
        }
        return true;
    }
    catch {
        return false;
    }
}
