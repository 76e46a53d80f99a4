/** Milliseconds since 1970 that never jump: the wall clock at the start plus the time elapsed since. */
export function createDaemonClock(): () => number {
    return () => performance.timeOrigin + performance.now();
}
