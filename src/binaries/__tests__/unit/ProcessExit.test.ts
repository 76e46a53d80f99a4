import { expect, test } from "vitest";
import { derivePartName } from "../../ProcessExit.js";

// Guards against uncaught errors whose log line does not say which part failed.
test("the part of an error is the folder of the first own frame", () => {
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
