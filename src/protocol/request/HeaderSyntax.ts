import { validateHeaderName, validateHeaderValue } from "node:http";

/** Whether all names and values can be written in a head; `headers` holds them alternately. */
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
