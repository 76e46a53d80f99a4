import { afterEach, describe, expect, it } from "vitest";
import { checkHealth } from "../../index.js";
import { createReport, createTestDialect } from "../fixtures/Admission.js";
import { startRawServer } from "../fixtures/RawServer.js";
import type { HealthAnswer, RawServer } from "../fixtures/RawServer.js";

let server: RawServer | undefined;

afterEach(async () => {
    await server?.close();
    server = undefined;
});

async function check(health: HealthAnswer) {
    server = await startRawServer(() => undefined, () => health);
    return checkHealth(createTestDialect(), { ...createReport(server.port), coldUntil: 0, reportedAt: 0 }, "/healthz");
}

/** Guards against a health check whose failure leaves no reason for the log. */
describe("a health check", () => {
    it("returns the health and the id that the server states", async () => {
        const health = await check({ headers: ["X-Server: server-1"], status: 200 });
        expect(health.extract()).toEqual({ isHealthy: true, serverId: "server-1" });
    });

    it("returns that the server is unhealthy when it answers 503", async () => {
        expect((await check({ headers: [], status: 503 })).extract()).toEqual({
            isHealthy: false,
            serverId: undefined,
        });
    });

    // Guards against a check that never ends, after which the server would get no requests any more.
    it("returns that there was no answer when the server switches protocols", async () => {
        const health = await check({ headers: ["Connection: Upgrade", "Upgrade: other"], status: 101 });
        expect(health.extract()).toContain("without an answer");
    });

    it.each([700, 999])("returns that there was no answer when the status is %i", async status => {
        const health = await check({ headers: ["X-Server: server-1"], status });
        expect(health.extract()).toBe(`the answer has the status ${status}`);
    });

    it("returns the connection error when the server can't be reached", async () => {
        server = await startRawServer(() => undefined);
        const registered = { ...createReport(server.port), coldUntil: 0, reportedAt: 0 };
        await server.close();
        const health = await checkHealth(createTestDialect(), registered, "/healthz");
        expect(health.isLeft()).toBe(true);
        expect(health.extract()).toContain("ECONNREFUSED");
    });
});
