import { expect, test } from "vitest";
import { derivePartName } from "../../ProcessExit.js";

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
