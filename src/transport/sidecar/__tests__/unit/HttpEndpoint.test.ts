import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { describe, expect, it, onTestFinished } from "vitest";
import { CostlyReads } from "../../../input/index.js";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { openEndpoint } from "../../HttpEndpoint.js";

/** Guards against a report without end that is read until its sender closes the connection. */
describe("a report above the limit", () => {
    it("is rejected while it is still being sent, and its connection is closed", async () => {
        const now = (): number => performance.now();
        let handled = 0;
        const server = await openEndpoint(
            { host: "127.0.0.1", port: 0 },
            () => {
                handled++;
                return { body: "", contentType: "text/plain", status: 200 };
            },
            new CostlyReads(createSilentLogger(), now),
            now,
        );
        onTestFinished(() => void server.close());
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        onTestFinished(() => void socket.destroy());
        let text = "";
        let isClosed = false;
        socket.on("data", (data: Buffer) => {
            text += data.toString("latin1");
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            isClosed = true;
        });
        socket.write("PUT /instances/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
        socket.write(`400\r\n${"x".repeat(1_024)}\r\n`.repeat(70));
        await expect.poll(() => text, { timeout: 5_000 }).toContain("413");
        await expect.poll(() => isClosed, { timeout: 5_000 }).toBe(true);
        expect(handled).toBe(0);
    });
});
