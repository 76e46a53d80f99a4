/** Entry point of the measurement's child processes; the first argument is the role. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Pool, stream } from "undici";
import type { Member } from "../../src/state/members/index.js";
import { createSeededRandom } from "../../src/state/shared/index.js";
import { startRequestProxy } from "../../src/transport/proxy/index.js";
import { buildMeasuredView, LOOPBACK } from "./MeasuredDocument.js";
import type { ProcessReply, ProcessRequest, Role } from "./ProcessMessages.js";

const ANSWER_BYTES = 1_024;
const HOP_BY_HOP_HEADERS = new Set(["connection", "keep-alive", "transfer-encoding"]);

function startServerRole(): void {
    const answer = Buffer.alloc(ANSWER_BYTES, "a");
    const server = createServer((request, response) => {
        request.resume();
        response.writeHead(200, { "content-type": "application/octet-stream", "content-length": answer.length });
        response.end(answer);
    });
    server.keepAliveTimeout = 60_000;
    server.listen(0, LOOPBACK, () => {
        sendReply({ kind: "ready", requestPort: (server.address() as AddressInfo).port, relayPort: 0 });
    });
}

/** Starts the baseline: a hop that only forwards. */
function startBareHopRole(): void {
    let pool: Pool | undefined;
    withOwner(owner => {
        pool = new Pool(`http://${LOOPBACK}:${owner.server?.port ?? 0}`, { connections: 64, pipelining: 1 });
    });
    const server = createServer((request, response) => {
        void stream(`http://${LOOPBACK}${request.url ?? ""}`, {
            ...(pool === undefined ? {} : { dispatcher: pool }),
            method: "GET",
            headers: { "x-request-id": "1" },
        }, ({ statusCode, headers }) => {
            const forwarded = Object.entries(headers).filter(([name]) => !HOP_BY_HOP_HEADERS.has(name)).flat();
            return response.writeHead(statusCode, forwarded as string[]);
        }).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    server.listen(0, LOOPBACK, () => {
        sendReply({ kind: "ready", requestPort: (server.address() as AddressInfo).port, relayPort: 0 });
    });
}

async function startProxyRole(selfId: string, isLeasing: boolean): Promise<void> {
    let view = buildMeasuredView(undefined);
    withOwner(owner => {
        view = buildMeasuredView(owner);
    });
    const proxy = await startRequestProxy({
        address: LOOPBACK,
        requestPort: 0,
        relayPort: 0,
        selfId,
        failureDomain: "erie-a",
        region: "erie",
        readView: () => view,
        claims: {
            claim: () => Promise.resolve({ kind: "refused", detail: "not part of this measurement" }),
            complete: () => Promise.resolve(),
            release: () => Promise.resolve(),
            abandon: () => Promise.resolve(),
        },
        recorder: { record: () => undefined, count: () => undefined },
        meshKey: "measure",
        now: () => performance.now(),
        random: createSeededRandom(1),
        log: () => undefined,
        isLeasing,
    });
    sendReply({ kind: "ready", requestPort: proxy.requestPort, relayPort: proxy.relayPort });
}

function withOwner(handle: (owner: Member) => void): void {
    process.on("message", (message: ProcessRequest) => {
        if (message.kind === "owner") {
            handle(message.owner);
        }
    });
}

function sendReply(message: ProcessReply): void {
    process.send?.(message);
}

process.on("message", (message: ProcessRequest) => {
    if (message.kind === "usage") {
        const { user, system } = process.cpuUsage();
        const heapBytes = process.memoryUsage().heapUsed;
        sendReply({ kind: "usage", cpuMicroseconds: user + system, rssBytes: process.memoryUsage.rss(), heapBytes });
    }
});
// The measurement has exited.
process.on("disconnect", () => process.exit(0));

const role = process.argv[2] as Role;
switch (role) {
    case "server":
        startServerRole();
        break;
    case "bare-hop":
        startBareHopRole();
        break;
    case "owner":
    case "leasing":
        await startProxyRole(role, true);
        break;
    case "relaying":
        await startProxyRole(role, false);
        break;
}
