import { afterEach, expect, test, vi } from "vitest";
import { derivePartName, handleStopSignals } from "../../ProcessExit.js";

afterEach(() => {
    vi.restoreAllMocks();
});

// Guards against log lines of uncaught errors that don't name the part that failed.
test("the part of an error is the folder of its first frame in project code, or daemon without one", () => {
    const error = new Error("broken");
    error.stack = [
        "Error: broken",
        "    at Socket.emit (node:events:1:1)",
        "    at run (file:///opt/papayaturn/dist/src/transport/proxy/Exchange.js:1:1)",
        "    at start (file:///opt/papayaturn/dist/src/transport/daemon/Daemon.js:1:1)",
    ].join("\n");
    expect(derivePartName(error)).toBe("proxy");
    expect(derivePartName("text")).toBe("daemon");
});

// Guards against a process that stays after a failed stop until it is killed.
test("a planned stop that fails ends the process, and its error is logged", async () => {
    const exit = vi.spyOn(process, "exit").mockImplementation(() => undefined as never);
    const lines: string[] = [];
    const signals = ["SIGTERM", "SIGINT"] as const;
    const before = signals.map(signal => process.listeners(signal));
    handleStopSignals(() => Promise.reject(new Error("a port can't be closed")), sentence => lines.push(sentence));
    process.emit("SIGTERM", "SIGTERM");
    await vi.waitFor(() => expect(exit).toHaveBeenCalledWith(1));
    expect(lines).toEqual(["planned stop begins.", "planned stop has failed."]);
    signals.forEach((signal, index) =>
        process.listeners(signal)
            .filter(listener => !before[index]?.includes(listener))
            .forEach(listener => process.off(signal, listener))
    );
});
