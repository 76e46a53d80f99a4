/** Reads the texts of versions from what other daemons have sent. */
import { inflateRawSync } from "node:zlib";
import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import { applyTextDifference, computeHash, isDifference } from "../../state/versions/index.js";

/** Limit of the text of a version, above the platform's limit for an object. */
const MAXIMUM_TEXT_BYTES = 16 * 1_048_576;

/** Unpacks a whole copy; Left says why it can't be. */
export function readCopy(compressedText: Uint8Array): Either<string, string> {
    try {
        return Right(inflateRawSync(compressedText, { maxOutputLength: MAXIMUM_TEXT_BYTES }).toString("utf8"));
    }
    catch (error) {
        return Left((error as Error).message);
    }
}

/** Puts the text of a version together; Left says why it can't be. */
export function readDifference(base: string, compressedParts: Uint8Array, checksum: string): Either<string, string> {
    let parts: unknown;
    try {
        const json = inflateRawSync(compressedParts, { maxOutputLength: MAXIMUM_TEXT_BYTES }).toString("utf8");
        parts = JSON.parse(json);
    }
    catch (error) {
        return Left(`it can't be read (${(error as Error).message})`);
    }
    const text = isDifference(parts) ? applyTextDifference(base, parts, MAXIMUM_TEXT_BYTES) : undefined;
    if (text === undefined) {
        return Left("its parts are malformed");
    }
    return computeHash(text) === checksum ? Right(text) : Left("its checksum is that of another text");
}
