import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { computeSeal, runCase, sendRequest, sleep, startMesh } from "../kit/Mesh.mjs";

const PARTS = 10;
const PART_BYTES = 30_000;
const PART_INTERVAL_MS = 50;
/** One in so many answers of a server states no length. */
const UNFRAMED_EVERY = 20;
const REQUESTS = 260;
const REQUEST_INTERVAL_MS = 15;
/** The daemon is killed this long after the server has begun to send such an answer, which takes 500 ms. */
const KILL_DELAY_MS = 250;

/** Sends the body in parts, as it is read from where it lies. */
async function sendParts(body, write) {
    for (let part = 0; part < PARTS; part++) {
        write(body.subarray(part * PART_BYTES, (part + 1) * PART_BYTES));
        await sleep(PART_INTERVAL_MS);
    }
}

/** Answers with a length; one of the servers states none in each twentieth answer, which ends with its connection. */
function createServerBehaviour(mayOmitLength, onUnframed) {
    let answers = 0;
    return async ({ requestId, response }) => {
        if (response.socket === null) {
            return;
        }
        const body = Buffer.alloc(PARTS * PART_BYTES, `${requestId} `);
        const seal = computeSeal(requestId, body);
        if (!mayOmitLength || ++answers % UNFRAMED_EVERY > 0) {
            response.writeHead(200, { "Request-Id": requestId, "Response-Seal": seal, "content-length": body.length });
            await sendParts(body, part => response.write(part));
            response.end();
            return;
        }
        onUnframed(requestId);
        const { socket } = response;
        socket.write(
            `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Seal: ${seal}\r\nConnection: close\r\n\r\n`,
        );
        await sendParts(body, part => socket.write(part));
        socket.end();
    };
}

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
    const { isTroubled, log } = context;
    let unframed = 0;
    let daemon;
    const onUnframed = id => {
        log(`the server answers ${id} without a length`);
        // The second one, so that the first shows what a consumer gets without the disruption.
        if (++unframed === 2 && isTroubled) {
            setTimeout(() => {
                log("SIGKILL of the daemon that the consumers use");
                daemon.signal("SIGKILL");
            }, KILL_DELAY_MS);
        }
    };
    const { nodes } = await startMesh(context, {
        routes: [{ kind: "download", path: "/packs/", service: "workroom", timeoutS: 2.5 }],
        servers: [false, true].map(mayOmitLength => ({
            run: createServerBehaviour(mayOmitLength, onUnframed),
            service: "workroom",
            slots: 18,
        })),
    });
    ({ daemon } = nodes[0]);
    const pending = [];
    for (let number = 1; number <= REQUESTS && daemon.exits.length === 0; number++) {
        const id = `pack-${number}`;
        log(`sent ${id}`);
        pending.push(
            sendRequest(daemon, { id, path: `/packs/${number}`, timeLeftMs: 2_500 }).then(answer => {
                const isWhole = answer.headers["response-seal"] === computeSeal(id, answer.body);
                log(
                    `${id}: status ${answer.status}, ${answer.body.length} bytes, end of the answer: ${answer.end}, `
                        + (isWhole ? "the whole body" : "not a server's whole body"),
                );
                return { ...answer, id, isWhole };
            }),
        );
        await sleep(REQUEST_INTERVAL_MS);
    }
    const answers = await Promise.all(pending);
    if (unframed < 2) {
        throw new Error("fewer than two answers without a length were sent");
    }
    return answers
        .filter(({ end, isWhole, status }) => status === 200 && end === "complete" && !isWhole)
        .map(({ body, id }) => `MIXED: ${id} got 200 and ${body.length} bytes that look complete`);
});
