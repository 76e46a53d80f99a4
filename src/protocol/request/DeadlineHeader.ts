import { MeshHeader } from "./MeshHeaders.js";

const DEADLINE_PATTERN = /^[0-9]{1,9}$/;

/** Parses a deadline header into the remaining milliseconds; undefined when absent or malformed. */
export function parseDeadlineMs(value: string | string[] | undefined): number | undefined {
    return typeof value === "string" && DEADLINE_PATTERN.test(value) ? Number(value) : undefined;
}

/** Adds the deadline header; at least 1 ms, since 0 would mean that the deadline has passed. */
export function appendDeadline(headers: string[], remainingMs: number): void {
    headers.push(MeshHeader.Deadline, String(Math.max(1, Math.floor(remainingMs))));
}
