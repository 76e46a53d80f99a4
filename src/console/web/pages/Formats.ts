/** Formats times, durations, sizes and shares for display. */

const MS_PER_SECOND = 1_000;
const SECONDS_PER_MINUTE = 60;
const MINUTES_PER_HOUR = 60;
const HOURS_PER_DAY = 24;
const UNIT_FACTOR = 1_000;

/** Formats a time in UTC, so that operators in different time zones see the same. */
export function formatTime(time: number): string {
    return `${new Date(time).toISOString().slice(0, 19).replace("T", " ")} UTC`;
}

/** Formats a duration with its two largest units, for example `3 min 5 s`. */
export function formatDuration(ms: number): string {
    const seconds = Math.floor(ms / MS_PER_SECOND);
    const minutes = Math.floor(seconds / SECONDS_PER_MINUTE);
    const hours = Math.floor(minutes / MINUTES_PER_HOUR);
    if (minutes === 0) {
        return `${seconds} s`;
    }
    if (hours === 0) {
        return `${minutes} min ${seconds % SECONDS_PER_MINUTE} s`;
    }
    const days = Math.floor(hours / HOURS_PER_DAY);
    return days === 0
        ? `${hours} h ${minutes % MINUTES_PER_HOUR} min`
        : `${days} d ${hours % HOURS_PER_DAY} h`;
}

/** Formats a number of bytes with decimal units, in which network links are billed. */
export function formatBytes(bytes: number): string {
    const units = ["B", "KB", "MB", "GB", "TB"];
    let amount = bytes;
    let unit = 0;
    while (amount >= UNIT_FACTOR && unit < units.length - 1) {
        amount /= UNIT_FACTOR;
        unit += 1;
    }
    return `${unit === 0 ? amount : amount.toFixed(1)} ${units[unit]}`;
}

/** Formats a share as a percentage, rounded down so that 100% means all. */
export function formatShare(part: number, whole: number): string {
    return whole === 0 ? "–" : `${Math.floor(part / whole * 100)}%`;
}
