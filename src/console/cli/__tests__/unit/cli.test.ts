import { fastify } from "fastify";
import { readFile } from "node:fs/promises";
import { afterEach, expect, test } from "vitest";
import type { StoreServer } from "../../../../../standins/store/index.js";
import { startStoreServer } from "../../../../../standins/store/index.js";
import { mergeSummaries } from "../../../../coordination/summary/index.js";
import type { MeshSummary } from "../../../../coordination/summary/index.js";
import { createStoreClient } from "../../../../transport/store/index.js";
import { COMMANDS } from "../../index.js";
import { createCliSession } from "./CliSession.js";

const LAKESHORE = "examples/lakeshore.yaml";
const closers: (() => Promise<unknown>)[] = [];

afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

async function startStore(): Promise<StoreServer> {
    const server = await startStoreServer({ port: 0 });
    closers.push(() => server.close());
    return server;
}

function createEnvironment(server: StoreServer, user = "ada"): Record<string, string> {
    return { PAPAYATURN_MESH_KEY: "test mesh key", PAPAYATURN_STORE_URL: server.url, USER: user };
}

/** Writes a mesh summary as the relay of a region does. */
async function writeStatus(server: StoreServer, region: string, summary: MeshSummary): Promise<void> {
    const store = createStoreClient({ timeoutMs: 5_000, url: server.url });
    const key = `status/${region}`;
    const held = (await store.get(key)).unsafeCoerce();
    const condition = held === undefined
        ? { kind: "absent" as const }
        : { kind: "version" as const, version: held.version };
    (await store.put(key, JSON.stringify(summary), condition)).unsafeCoerce();
    await store.close();
}

function createSummary(versions: MeshSummary["versions"], waiting: MeshSummary["waiting"] = []): MeshSummary {
    return {
        ...mergeSummaries([]),
        controlBytes: 9_000,
        controlBytesAcrossRegions: 700,
        daemons: versions.reduce((sum, { daemons }) => sum + daemons, 0),
        versions,
        waiting,
    };
}

// Guards against unintended changes of outputs and exit codes on which operators' scripts depend.
test("changes, conflicts and a rollback print the recorded outputs and exit codes", async () => {
    const server = await startStore();
    const ada = createCliSession(createEnvironment(server));
    const text = await readFile(LAKESHORE, "utf8");
    const files = {
        "bad.yaml": text.replace("timeout: 2s", "timeout: 2").replace("class: money", "clas: money"),
        "more.yaml": text.replace("slots: 12", "slots: 14").replace(
            "  festivals:",
            "  fairs: { weight: 2 }\n  festivals:",
        ),
    };
    const run = (...args: string[]) => ada.run(args, files);
    await run("validate", LAKESHORE);
    await run("validate", "bad.yaml");
    await run("validate", "bad.yaml", "--json");
    await run("diff", LAKESHORE);
    await run("apply", LAKESHORE, "-m", "First version", "--if-version", "0");
    await run("apply", LAKESHORE);
    await run("diff", "more.yaml");
    await run("apply", "more.yaml", "--message", "More slots", "--author", "bea", "--json");
    await run("apply", LAKESHORE, "--if-version", "1");
    await run("apply", "bad.yaml");
    await run("rollback", "1", "--if-version", "2");
    await run("rollback", "7");
    await run("history");
    await run("diff", "more.yaml", "--version", "2");
    expect(await run("export", "--version", "1")).toContain("storeRegion: erie");
    server.setFaults({ outage: true });
    await run("history");
    await run("apply", "more.yaml");
    const transcript = ada.readTranscript().replace(/(export --version 1\n)[^]*?(\[exit)/, "$1...\n$2");
    await expect(transcript).toMatchFileSnapshot("golden/changes.txt");
});

// Guards against `status --wait` that ends before the version is in force everywhere, or hides what delays it.
test("status --wait shows the progress and ends when the version is in force everywhere or time is up", async () => {
    const server = await startStore();
    const session = createCliSession(createEnvironment(server));
    await session.run(["status"]);
    await session.run(["apply", LAKESHORE]);
    const stages = [
        createSummary([{ daemons: 2, version: 1 }, { daemons: 10, version: 0 }]),
        createSummary([{ daemons: 11, version: 1 }, { daemons: 1, version: 0 }], [
            { daemons: 1, reason: "superior-b: service ledger has announced no backend server" },
        ]),
        createSummary([{ daemons: 12, version: 1 }]),
    ];
    session.onSleep = async () => {
        const stage = stages.shift();
        if (stage !== undefined) {
            await writeStatus(server, "erie", stage);
        }
    };
    await session.run(["status", "--wait", "--timeout", "1s"]);
    await session.run(["status"]);
    await session.run(["status", "--wait", "--json"]);
    // The summary of a region that is cut off covers only its own daemons.
    await writeStatus(server, "superior", createSummary([{ daemons: 6, version: 0 }]));
    await session.run(["status"]);
    await session.run(["status", "--wait", "--timeout", "1s"]);
    await expect(session.readTranscript()).toMatchFileSnapshot("golden/convergence.txt");
});

test("status and explain print the answers and failures of a daemon as recorded", async () => {
    const daemon = fastify();
    daemon.addHook("onRequest", async (request, reply) => {
        if (request.headers.authorization !== "Bearer test token") {
            await reply.code(401).send({ findings: ["A bearer token is required."] });
        }
    });
    daemon.get("/v1/status", () => ({
        id: "erie-a-1",
        mesh: createSummary([{ daemons: 4, version: 3 }]),
        receivedVersion: 3,
    }));
    daemon.get<{ Querystring: { readonly method: string; readonly path: string; readonly key?: string; }; }>(
        "/v1/explain",
        ({ query }) =>
            query.path !== "/deposits" ? { keyOrder: [], servers: [], version: 3 } : {
                class: "money",
                keyOrder: query.key === undefined ? [] : ["erie-b-1", "erie-a-1"],
                repeatable: query.method === "GET",
                route: query.method === "GET" ? "read-deposit" : "pay-deposit",
                servers: [{
                    distance: 0,
                    failureDomain: "erie-a",
                    hop: "direct",
                    id: "erie-a-1",
                    inFlight: 3,
                    isEjected: false,
                    utilization: 0.25,
                }],
                service: "ledger",
                version: 3,
            },
    );
    const url = await daemon.listen({ host: "127.0.0.1", port: 0 });
    closers.push(() => daemon.close());
    const environment = createEnvironment(await startStore());
    const session = createCliSession({ ...environment, PAPAYATURN_DAEMON_URL: url, PAPAYATURN_TOKEN: "test token" });
    await session.run(["apply", LAKESHORE]);
    await session.run(["status", "--daemon", url, "--wait"]);
    await session.run(["explain", "POST /deposits", "--key", "7"]);
    await session.run(["explain", "service/ledger"]);
    await session.run(["explain", "read-deposit", "--json"]);
    await session.run(["explain", "/nowhere"]);
    await session.run(["explain", "leger"]);
    await session.run(["status", "--daemon", "http://127.0.0.1:1"]);
    const stranger = createCliSession({ ...environment, PAPAYATURN_DAEMON_URL: url });
    await stranger.run(["explain", "/deposits"]);
    await expect(session.readTranscript() + stranger.readTranscript()).toMatchFileSnapshot("golden/daemon.txt");
});

// Guards against misspelt options that are silently ignored.
test("usage errors are reported with a message and the exit code for usage", async () => {
    const session = createCliSession({});
    const lines = [
        "",
        "applly mesh.yaml",
        "apply",
        `apply ${LAKESHORE}`,
        `apply ${LAKESHORE} --author ada`,
        `apply ${LAKESHORE} --author ada --store ftp://x`,
        "apply mesh.yaml --mesage x",
        "apply mesh.yaml --message",
        `apply ${LAKESHORE} --if-version two`,
        "apply mesh.yaml other.yaml",
        "validate missing.yaml",
        "validate --json=no mesh.yaml",
        "status --timeout soon",
        "history --json",
    ];
    for (const line of lines) {
        await session.run(line.split(" ").filter(word => word !== ""));
    }
    await expect(session.readTranscript()).toMatchFileSnapshot("golden/usage.txt");
});

test("the help of each command shows at least one example", async () => {
    const session = createCliSession({});
    for (const command of COMMANDS) {
        expect(await session.run([command.name, "--help"])).toContain(`EXAMPLES\n\n  papayaturn ${command.name}`);
    }
    await expect(session.readTranscript()).toMatchFileSnapshot("golden/help.txt");
});

test("colours and the progress line are written to terminals only", async () => {
    const escape = "\u001b[";
    const run = (isTerminal: boolean, environment: Record<string, string> = {}) =>
        createCliSession(environment, isTerminal).run(["validate", LAKESHORE]);
    expect(await run(true)).toContain(`${escape}32m`);
    expect(await run(true, { NO_COLOR: "1" })).not.toContain(escape);
    expect(await run(false)).not.toContain(escape);
    const server = await startStore();
    const session = createCliSession(createEnvironment(server), true);
    await writeStatus(server, "erie", createSummary([{ daemons: 1, version: 0 }]));
    expect(await session.run(["status", "--wait", "--timeout", "1s"])).toContain(`\r${escape}K`);
});

test("explain shows the timeline of a request from several log files, and reports when no line names it", async () => {
    const format = (fields: object) => JSON.stringify({ daemon: "entry", time: "2026-12-04T10:00:00.000Z", ...fields });
    const end = {
        detail: "read ECONNRESET",
        latencyMs: 9,
        msg: "requests: POST /pay/ ended as unknown.",
        queuedMs: 0,
        requestId: "r-1",
        revision: 17,
        status: 502,
    };
    const files = {
        "a.log": format({ msg: "configuration: version 4 is in force." }),
        "b.log": `cut off{"\n${format(end)}`,
    };
    const session = createCliSession({});
    const timeline = await session.run(["explain", "r-1", "--logs", "a.log,b.log"], files);
    expect(timeline).toContain("entry configuration: version 4 is in force.");
    expect(timeline).toContain("Status 502: read ECONNRESET");
    expect(await session.run(["explain", "r-2", "--logs", "a.log,b.log"], files)).toContain("None of 2 log lines");
    expect(session.readTranscript()).toContain("[exit code 0]");
});
