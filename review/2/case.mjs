import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, computeSeal, runCase, sendReport, sendRequest, sleep, startMesh } from "../kit/Mesh.mjs";

const WORK_MS = 60;
const REQUEST_INTERVAL_MS = 50;
/** Time for which the server serves after its daemon has acknowledged that it leaves. */
const SERVE_AFTER_ACK_MS = 6_000;
const MS_PER_SECOND = 1_000;

const answer = async ({ requestId, response }) => {
    await sleep(WORK_MS);
    const body = `answer to ${requestId}`;
    response.writeHead(200, {
        "Request-Id": requestId,
        "Response-Seal": computeSeal(requestId, body),
        "content-length": body.length,
    });
    response.end(body);
};

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
    const { isTroubled, log } = context;
    const { nodes } = await startMesh(context, {
        routes: [{ kind: "idempotent", path: "/stock/", service: "ledger" }],
        servers: [{ run: answer, service: "ledger" }, { run: answer, service: "ledger" }],
    });
    const [{ daemon, server }] = nodes;
    let isEnded = false;
    const statuses = new Map();
    const consumer = (async () => {
        for (let number = 1; !isEnded; number++) {
            const id = `stock-${number}`;
            void sendRequest(daemon, { id, path: `/stock/${number}` }).then(({ status }) => {
                log(`${id}: status ${status}`);
                statuses.set(status, (statuses.get(status) ?? 0) + 1);
            });
            await sleep(REQUEST_INTERVAL_MS);
        }
    })();
    await sleep(1_000);
    if (isTroubled) {
        const { id } = server.options;
        // Without `born`, and with a zone that is no text.
        const foreign = {
            Address: `127.0.0.1:${server.port}`,
            Seq: 1_000_000,
            Service: "ledger",
            Slots: 8,
            State: "ready",
            Zone: 7,
        };
        const status = await sendReport(daemon, id, foreign);
        log(`another writer sent a report of ${id}, answered ${status}: ${JSON.stringify(foreign)}`);
        await sleep(1_000);
    }
    server.state = "draining";
    while (server.acknowledgedAt === undefined) {
        await server.report();
        await sleep(200);
    }
    await sleep(SERVE_AFTER_ACK_MS);
    isEnded = true;
    await consumer;
    await sleep(500);
    log(`answers by status: ${JSON.stringify([...statuses])}`);
    const limit = server.acknowledgedAt + BOUNDS.DrainS * MS_PER_SECOND;
    const late = server.runs.filter(({ at }) => at > limit);
    const lastS = late.length === 0 ? 0 : (late.at(-1).at - server.acknowledgedAt) / MS_PER_SECOND;
    return late.length === 0
        ? []
        : [
            `DRAIN: ${late.length} requests reached the server later than ${BOUNDS.DrainS} s after the ack, the last one `
            + `after ${lastS.toFixed(2)} s`,
        ];
});
