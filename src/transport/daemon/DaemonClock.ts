/** Creates a clock of milliseconds since 1970 that never jumps: the wall clock at process start plus elapsed time. */
export function createDaemonClock(): () => number {
    return () => performance.timeOrigin + performance.now();
}
