/** A small deployment on loopback: a store, backend servers, and the project's daemons as processes. */
import { spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, createServer, request as sendHttp } from "node:http";
import { createServer as createNetServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))));
export const HOST = "mesh.example";
const LOOPBACK = "127.0.0.1";
/** Bounds of the small sites. */
export const BOUNDS = {
    BudgetWindowS: 10,
    ConfigDeadlineS: 2,
    DrainS: 2,
    GraceS: 6,
    RetryBudgetRatio: 0.2,
    RetryBudgetSlack: 60,
    StableWindowS: 3,
};

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Below the ports that systems give to outgoing connections, so that none of these takes one before its daemon does. */
const FIRST_PORT = 15_000;
const PORTS = 15_000;
const takenPorts = new Set();

export async function takePort() {
    for (;;) {
        const port = FIRST_PORT + randomInt(PORTS);
        const server = createNetServer();
        const isFree = await new Promise(resolve => {
            server.once("error", () => resolve(false));
            server.listen(port, LOOPBACK, () => resolve(true));
        });
        if (isFree) {
            await new Promise(resolve => server.close(resolve));
        }
        if (isFree && !takenPorts.has(port)) {
            takenPorts.add(port);
            return port;
        }
    }
}

/** The seal of an answer: signs the request's id and the whole body. */
export function computeSeal(id, body) {
    let hash = 5381;
    for (const byte of Buffer.concat([Buffer.from(`${id}|`), Buffer.from(body)])) {
        hash = Math.imul(hash, 33) + byte | 0;
    }
    return (hash >>> 0).toString(16);
}

/** Store of the platform: objects by kind and name, lists, conditional writes and watches. */
export async function startStore() {
    const kinds = new Map();
    const waiting = new Set();
    let revision = 10;
    const objectsOf = kind => kinds.get(kind) ?? kinds.set(kind, new Map()).get(kind);
    const store = (kind, name, spec) => {
        const object = { Metadata: { Created: 0, Finalizers: [], Name: name, Revision: ++revision }, Spec: spec };
        objectsOf(kind).set(name, object);
        for (const watch of [...waiting].filter(each => each.kind === kind)) {
            watch.answer();
        }
        return object;
    };
    const send = (response, status, body) => {
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(body));
    };
    const startWatch = (response, kind, after, waitMs) => {
        const collect = () => [...objectsOf(kind).values()].filter(object => object.Metadata.Revision > after);
        const watch = {
            answer: () => {
                clearTimeout(watch.timer);
                waiting.delete(watch);
                send(response, 200, {
                    At: revision,
                    events: collect().map(object => ({ Deleted: false, Object: object })),
                });
            },
            kind,
        };
        if (collect().length > 0) {
            watch.answer();
            return;
        }
        watch.timer = setTimeout(watch.answer, waitMs);
        waiting.add(watch);
        response.on("close", () => {
            clearTimeout(watch.timer);
            waiting.delete(watch);
        });
    };
    const handle = (request, response, text) => {
        const url = new URL(request.url, "http://store");
        const [, , kind, name] = url.pathname.split("/").map(decodeURIComponent);
        const objects = objectsOf(kind);
        if (request.method === "GET" && url.searchParams.has("Watch")) {
            startWatch(response, kind, Number(url.searchParams.get("Watch")), Number(url.searchParams.get("WaitMs")));
        }
        else if (request.method === "GET" && name !== undefined) {
            const object = objects.get(name);
            send(response, object === undefined ? 404 : 200, object ?? {});
        }
        else if (request.method === "GET") {
            const after = url.searchParams.get("after") ?? "";
            const items = [...objects.values()].filter(object => object.Metadata.Name > after)
                .sort((left, right) => left.Metadata.Name < right.Metadata.Name ? -1 : 1);
            send(response, 200, { At: revision, HasMore: items.length > 500, items: items.slice(0, 500) });
        }
        else if (request.method === "DELETE") {
            send(response, objects.delete(name) ? 200 : 404, {});
        }
        else {
            const object = JSON.parse(text);
            const key = name ?? object.Metadata.Name;
            const stored = objects.get(key);
            const expected = object.Metadata?.Revision;
            if (request.method === "POST" && stored !== undefined) {
                send(response, 409, stored);
            }
            else if (request.method === "PUT" && stored === undefined) {
                send(response, 404, {});
            }
            else if (expected !== undefined && stored !== undefined && stored.Metadata.Revision !== expected) {
                send(response, 409, stored);
            }
            else {
                send(response, 200, store(key === undefined ? "" : kind, key, object.Spec));
            }
        }
    };
    const server = createServer((request, response) => {
        readBody(request).then(body => handle(request, response, body.toString("utf8")), () => undefined);
    });
    await new Promise(resolve => server.listen(0, LOOPBACK, resolve));
    return {
        address: `${LOOPBACK}:${server.address().port}`,
        close: () => {
            server.closeAllConnections();
            server.close();
        },
        put: store,
    };
}

async function readBody(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/** A configuration with routes `{ attempts, kind, path, service, targetS, timeoutS }`. */
export function buildConfiguration(version, routes) {
    const services = [...new Set(routes.map(({ service }) => service))];
    return {
        Limits: { HeaderTimeoutS: 3, IdleTimeoutS: 15, MaxBodyBytes: 1_048_576, MaxHeaderBytes: 16_384 },
        Services: services.map(name => ({ HealthPath: "/healthz", MaxConnections: 120, Name: name })),
        Version: version,
        VirtualHosts: [{
            Host: HOST,
            Paths: routes.map(({ attempts = 2, kind, path, service, targetS = 0.8, timeoutS = 3 }) => ({
                Attempts: attempts,
                Kind: kind,
                Name: `r${path.replaceAll("/", "-")}`,
                PathPrefix: path,
                Priority: 1,
                Service: service,
                TargetLatencyS: targetS,
                TimeoutS: timeoutS,
            })),
        }],
    };
}

/** Fills in the template of the settings as DEPLOY.md tells; sections aren't used by it. */
function renderTemplate(template, fields) {
    return template.replaceAll(/\{\{([^}]+)\}\}/g, (_, path) => {
        const value = path.split(".").reduce((object, key) => object?.[key], fields);
        return value === undefined ? "" : String(value);
    });
}

/** One daemon as a process, started with the command and the settings of the deploy file. */
export class Daemon {
    exits = [];
    lines = [];
    #isExitExpected = false;

    constructor({ bounds, directory, name, service, store, zone = "erie-a" }) {
        this.options = { bounds: { ...BOUNDS, ...bounds }, directory, name, service, store, zone };
    }

    async prepare(serverPort) {
        const { bounds, directory, name, service, store, zone } = this.options;
        const ports = await Promise.all([1, 2, 3, 4, 5].map(takePort));
        [this.callerPort, this.readyPort, this.reportPort, this.peerPort, this.metricsPort] = ports;
        this.fields = {
            AppAddr: `${LOOPBACK}:${serverPort}`,
            Bootstrap: true,
            Bounds: bounds,
            InternalPortRange: [this.metricsPort],
            Ip: LOOPBACK,
            Limits: { LinkMbps: 1000 },
            Listen: {
                Control: `${LOOPBACK}:${this.reportPort}`,
                Inbound: `${LOOPBACK}:${this.peerPort}`,
                Outbound: `${LOOPBACK}:${this.callerPort}`,
                Ready: `${LOOPBACK}:${this.readyPort}`,
            },
            NodeName: name,
            Platform: { Address: store.address },
            Region: "erie",
            Service: service,
            Zone: zone,
        };
        this.file = join(directory, `${name}.env`);
    }

    start() {
        const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
        const [command, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
        const template = readFileSync(join(ROOT, "deploy/settings.env"), "utf8");
        writeFileSync(this.file, renderTemplate(template, this.fields));
        const child = spawn(command === "node" ? process.execPath : command, words, {
            cwd: ROOT,
            env: { HOME: process.env.HOME, PAPAYATURN_NODE_FILE: this.file, PATH: process.env.PATH },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child = child;
        this.#isExitExpected = false;
        for (const stream of [child.stdout, child.stderr]) {
            stream.setEncoding("utf8");
            stream.on("data", text => this.lines.push(...text.split("\n").filter(line => line !== "")));
        }
        this.exited = new Promise(resolve => {
            child.on("exit", (code, signal) => {
                this.exits.push({ code, isExpected: this.#isExitExpected, signal });
                resolve();
            });
        });
    }

    signal(signal) {
        if (signal === "SIGKILL" || signal === "SIGTERM") {
            this.#isExitExpected = true;
        }
        this.child.kill(signal);
    }

    async close() {
        if (this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null) {
            this.signal("SIGKILL");
            await this.exited;
        }
    }

    isReady() {
        return new Promise(resolve => {
            const call = sendHttp({ agent: false, host: LOOPBACK, path: "/readyz", port: this.readyPort }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            call.on("error", () => resolve(false));
            call.end();
        });
    }

    async awaitReady(limitMs = 15_000) {
        const startedAt = performance.now();
        while (!await this.isReady()) {
            if (performance.now() - startedAt > limitMs) {
                throw new Error(`${this.options.name} isn't ready: ${this.lines.slice(-3).join("\n")}`);
            }
            await sleep(100);
        }
    }
}

/**
 * A backend server that follows PROTOCOL.md: answers only requests for its own id, with the request's id and a seal, and
 * reports to the daemon beside it. `run` answers a request; by default it sleeps `workMs` and answers `body`.
 */
export class Server {
    runs = [];
    reports = [];
    state = "ready";
    sequence = 0;
    acknowledgedAt = undefined;

    constructor({ daemon, id, log, reportIntervalMs = 900, run, service, slots = 8 }) {
        this.options = { daemon, id, log, reportIntervalMs, run, service, slots };
        this.born = Date.now();
        this.http = createServer((request, response) => {
            request.on("error", () => undefined);
            response.on("error", () => undefined);
            readBody(request).then(body => this.#handle(request, response, body), () => undefined);
        });
        this.http.keepAliveTimeout = 10_000;
    }

    async listen() {
        const port = await takePort();
        await new Promise(resolve => this.http.listen(port, LOOPBACK, resolve));
        this.port = this.http.address().port;
    }

    startReports() {
        this.timer = setInterval(() => void this.report(), this.options.reportIntervalMs);
        return this.report();
    }

    /** Sends a liveness report; its answer's status, 0 without one. */
    async report(fields = {}) {
        const { daemon, id, log, service, slots } = this.options;
        const body = {
            Address: `${LOOPBACK}:${this.port}`,
            ColdLeftS: 0,
            Seq: ++this.sequence,
            Service: service,
            Slots: slots,
            State: this.state,
            Version: "v1",
            Zone: daemon.options.zone,
            born: this.born,
            ...fields,
        };
        const status = await sendReport(daemon, id, body);
        if (body.State === "draining" && status === 200 && this.acknowledgedAt === undefined) {
            this.acknowledgedAt = performance.now();
            log(`the daemon acknowledged that ${id} is draining (Seq ${body.Seq})`);
        }
        return status;
    }

    async #handle(request, response, body) {
        const { id, log, run, service } = this.options;
        if (request.url === "/healthz") {
            response.writeHead(this.state === "ready" ? 200 : 503, { "Instance-Id": id, "content-length": 0 }).end();
            return;
        }
        const requestId = request.headers["request-id"];
        if (request.headers["target-instance"] !== id) {
            response.writeHead(421, { "Not-Executed": "1", "Request-Id": requestId, "content-length": 0 }).end();
            return;
        }
        this.runs.push({ at: performance.now(), path: request.url, requestId });
        log(`server ${id} of ${service} began to run ${requestId}`);
        await run({ body, request, requestId, response });
    }

    close() {
        clearInterval(this.timer);
        this.http.closeAllConnections();
        this.http.close();
    }
}

/** Sends a liveness report as it stands; resolves with the status, 0 without an answer. */
export function sendReport(daemon, id, body) {
    const text = JSON.stringify(body);
    return new Promise(resolve => {
        const call = sendHttp({
            agent: false,
            headers: { "content-length": Buffer.byteLength(text), "content-type": "application/json" },
            host: LOOPBACK,
            method: "PUT",
            path: `/instances/${id}`,
            port: daemon.reportPort,
        }, response => {
            response.resume();
            resolve(response.statusCode);
        });
        call.on("error", () => resolve(0));
        call.end(text);
    });
}

/**
 * Sends a request as a consumer does; resolves with the status, the body and how the answer ended: `complete` when the
 * connection's protocol says that it is whole, else the error.
 */
export function sendRequest(daemon, { agent = false, body = "", id, method = "GET", path, timeLeftMs = 3_000 }) {
    const sentAt = performance.now();
    return new Promise(resolve => {
        const headers = { "Deadline-Ms": String(timeLeftMs), "Host": HOST, "Request-Id": id };
        if (body !== "") {
            headers["content-length"] = Buffer.byteLength(body);
        }
        const chunks = [];
        let status = 0;
        let answer = {};
        const finish = end =>
            resolve({ body: Buffer.concat(chunks), end, headers: answer, ms: performance.now() - sentAt, status });
        const call = sendHttp({ agent, headers, host: LOOPBACK, method, path, port: daemon.callerPort }, response => {
            status = response.statusCode;
            answer = response.headers;
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", error => finish(error.message));
            response.on("end", () => finish(response.complete ? "complete" : "cut"));
        });
        call.on("error", error => finish(error.message));
        call.end(body);
    });
}

export const createAgent = () => new Agent({ keepAlive: true });

/** Runs a case: prepares a folder and a record, ends all processes, and exits with 0, 1 or 2. */
export async function runCase(folder, play) {
    const directory = mkdtempSync(join(tmpdir(), "papayaturn-review-"));
    const startedAt = performance.now();
    const lines = [];
    const log = text => lines.push(`${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}`);
    const closers = [];
    const isTroubled = process.env.TROUBLE !== "0";
    log(isTroubled ? "with the disruption" : "without the disruption");
    let code = 2;
    const limit = setTimeout(() => {
        log("the case took too long");
        finish(2);
    }, 110_000);
    const finish = async exitCode => {
        clearTimeout(limit);
        for (const close of closers.reverse()) {
            await close();
        }
        rmSync(directory, { force: true, recursive: true });
        writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
        process.stdout.write(`${lines.slice(-1)[0]}\n`);
        process.exit(exitCode);
    };
    for (const signal of ["SIGINT", "SIGTERM"]) {
        process.on(signal, () => {
            log(`the case was ended by ${signal}`);
            void finish(2);
        });
    }
    // An error of a stand-in says nothing of the rule.
    process.on("uncaughtException", error => {
        log(`the case could not run: ${error.message}`);
        void finish(2);
    });
    try {
        const broken = await play({ directory, isTroubled, log, onClose: close => closers.push(close) });
        code = broken.length === 0 ? 0 : 1;
        broken.forEach(text => log(`BROKEN ${text}`));
        log(code === 0 ? "the rule held" : "the rule was broken");
    }
    catch (error) {
        log(`the case could not run: ${error.message}`);
    }
    await finish(code);
}

/** Starts a store with a configuration, and for each service named one daemon with its server. */
export async function startMesh({ directory, log, onClose }, { bounds, routes, servers }) {
    const store = await startStore();
    onClose(() => store.close());
    store.put("config", "main", buildConfiguration(11, routes));
    const nodes = [];
    for (const [index, { run, service, slots, zone }] of servers.entries()) {
        const daemon = new Daemon({ bounds, directory, name: `node-${index + 1}`, service, store, zone });
        const server = new Server({ daemon, id: `i-${service}-${index + 1}`, log, run, service, slots });
        await server.listen();
        onClose(() => server.close());
        await daemon.prepare(server.port);
        daemon.start();
        onClose(() => daemon.close());
        nodes.push({ daemon, server });
    }
    await sleep(500);
    for (const { daemon, server } of nodes) {
        await daemon.awaitReady();
        await server.startReports();
    }
    await sleep(2_500);
    return { nodes, store };
}
