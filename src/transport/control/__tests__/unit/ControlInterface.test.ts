import { afterEach, expect, test } from "vitest";
import { ServerStateTracker } from "../../../../coordination/renewal/index.js";
import type { ControlInterface } from "../../index.js";
import { startControlInterface } from "../../index.js";

const TOKEN = "a token of the test";
const ANNOUNCEMENT = { address: "127.0.0.1", connections: 120, port: 9, service: "ledger", slots: 12, state: "live" };

let control: ControlInterface | undefined;

afterEach(async () => {
    await control?.stop();
});

async function startControl(states: string[] = []): Promise<string> {
    control = await startControlInterface({
        explain: query => query,
        host: "127.0.0.1",
        port: 0,
        readHealth: () => ({ detail: "not settled", ready: false }),
        readHistograms: () => ({}),
        readMembers: () => [],
        readStatus: () => ({ id: "erie-a-1" }),
        serverWatch: new ServerStateTracker((_record, state) => states.push(state)),
        token: TOKEN,
    });
    return `http://127.0.0.1:${control.port}/v1`;
}

async function sendPost(url: string, body: unknown): Promise<number> {
    const response = await fetch(url, {
        body: JSON.stringify(body),
        headers: { "content-type": "application/json" },
        method: "POST",
    });
    await response.arrayBuffer();
    return response.status;
}

// Guards against a server that cannot leave, or that has to be restarted after its daemon was.
test("a server announces, renews and leaves; a renewal without an announcement is answered 404", async () => {
    const states: string[] = [];
    const url = await startControl(states);
    expect(await sendPost(`${url}/renew`, {})).toBe(404);
    expect(await sendPost(`${url}/announce`, ANNOUNCEMENT)).toBe(200);
    expect(await sendPost(`${url}/renew`, { load: { healthy: true, inFlight: 3, slots: 12 } })).toBe(200);
    expect(await sendPost(`${url}/leaving`, { finished: false })).toBe(200);
    expect(await sendPost(`${url}/leaving`, { finished: true })).toBe(200);
    expect(states).toEqual(["live", "leaving", "left"]);
});

// Guards against a faulty announcement that has to be corrected one field at a time.
test("all faults of an announcement are reported together and nothing is announced", async () => {
    const states: string[] = [];
    const url = await startControl(states);
    const response = await fetch(`${url}/announce`, {
        body: JSON.stringify({ ...ANNOUNCEMENT, address: "erie", extra: 1, port: "9", slots: 0 }),
        headers: { "content-type": "application/json" },
        method: "POST",
    });
    expect(response.status).toBe(400);
    const { findings } = await response.json() as { findings: string[]; };
    expect(findings.map(finding => finding.split(":")[0])).toEqual(
        expect.arrayContaining(["/", "/address", "/port", "/slots"]),
    );
    expect(states).toEqual([]);
});

// Guards against a server that overloads its daemon by calls in a loop, and against bodies that exhaust its memory.
test("an oversized announcement is answered 413, and one above the rate limit 429", async () => {
    const url = await startControl();
    expect(await sendPost(`${url}/announce`, { ...ANNOUNCEMENT, service: "x".repeat(20_000) })).toBe(413);
    const statuses = await Promise.all(Array.from({ length: 40 }, () => sendPost(`${url}/announce`, ANNOUNCEMENT)));
    expect(new Set(statuses)).toEqual(new Set([200, 429]));
});

// Guards against status and membership that any process on the VM can read.
test("operators' calls without the bearer token are answered 401, and health needs no token", async () => {
    const url = await startControl();
    for (const call of ["status", "histograms", "members", "explain?path=/x"]) {
        expect((await fetch(`${url}/${call}`)).status).toBe(401);
        expect((await fetch(`${url}/${call}`, { headers: { authorization: "Bearer wrong" } })).status).toBe(401);
        expect((await fetch(`${url}/${call}`, { headers: { authorization: `Bearer ${TOKEN}` } })).status).toBe(200);
    }
    expect((await fetch(`${url}/health`)).status).toBe(503);
});
