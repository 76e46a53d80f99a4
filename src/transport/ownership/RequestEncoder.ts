/** Encodes a request to a backend server as an HTTP/1.1 message. */
import type { Dialect, ServerRequestContext } from "../../protocol/dialect/index.js";
import type { OwnedRequest } from "./OwnedRequest.js";

const TOKEN_PATTERN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
const TARGET_PATTERN = /^[\x21-\xff]+$/;
/** Header values contain no control characters other than tabs. */
const HEADER_VALUE_PATTERN = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Whether method, target and headers can be written into a message without changing its structure. */
export function isWellFormed(request: OwnedRequest): boolean {
    if (!TOKEN_PATTERN.test(request.method) || !TARGET_PATTERN.test(request.target) || request.headers.length % 2 > 0) {
        return false;
    }
    return request.headers.every((part, index) => (index % 2 === 0 ? TOKEN_PATTERN : HEADER_VALUE_PATTERN).test(part));
}

/** Encodes the caller's headers, those of the dialect, and the body with its length. */
export function encodeRequest(request: OwnedRequest, instruction: ServerRequestContext, dialect: Dialect): Uint8Array {
    const lines = [`${request.method} ${request.target} HTTP/1.1`];
    const appendHeaders = (headers: readonly string[]): void => {
        for (let index = 0; index + 1 < headers.length; index += 2) {
            lines.push(`${headers[index]}: ${headers[index + 1]}`);
        }
    };
    appendHeaders(request.headers);
    appendHeaders(dialect.buildServerHeaders(instruction));
    if (request.body.length > 0 || request.method !== "GET" && request.method !== "HEAD") {
        lines.push(`content-length: ${request.body.length}`);
    }
    const head = Buffer.from(`${lines.join("\r\n")}\r\n\r\n`, "latin1");
    return request.body.length === 0 ? head : Buffer.concat([head, request.body]);
}
