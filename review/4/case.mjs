import { connect } from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { computeSeal, HOST, runCase, sleep, startMesh } from "../kit/Mesh.mjs";

const WORK_MS = 30;
const CONSUMERS = 8;
const REQUESTS_PER_CONSUMER = 18;
/** One in so many answers of one server is faulty. */
const FAULTY_EVERY = 20;
/** Time after which the consumer closes its connection. */
const WAIT_MS = 150;

/** Sends a request over a new connection, and reads an answer of a stated length and what follows it. */
function sendPlainly(port, id, path) {
    return new Promise(resolve => {
        const socket = connect({ host: "127.0.0.1", port });
        let text = "";
        socket.setEncoding("latin1");
        socket.on("connect", () => {
            socket.write(`GET ${path} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: ${id}\r\nDeadline-Ms: 3000\r\n\r\n`);
        });
        socket.on("data", data => {
            text += data;
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            const [head, ...rest] = text.split("\r\n\r\n");
            const received = rest.join("\r\n\r\n");
            const [, length] = /^content-length: (\d+)$/mi.exec(head.replaceAll("\r", "")) ?? [];
            const [, seal] = /^response-seal: (\S+)$/mi.exec(head.replaceAll("\r", "")) ?? [];
            const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1] ?? 0);
            const body = received.slice(0, Number(length ?? 0));
            resolve({
                body,
                excess: received.slice(body.length),
                hasWholeLength: body.length === Number(length),
                seal,
                status,
            });
        });
        setTimeout(() => socket.destroy(), WAIT_MS);
    });
}

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
    const { isTroubled, log } = context;
    const createBehaviour = mayBeFaulty => {
        let answers = 0;
        return async ({ requestId, response }) => {
            await sleep(WORK_MS);
            const body = `the whole answer to ${requestId}`;
            const seal = computeSeal(requestId, body);
            if (mayBeFaulty && ++answers % FAULTY_EVERY === 0) {
                log(`the server answers ${requestId} with a length of 9 and with chunks of ${body.length} bytes`);
                response.socket.write(
                    `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Seal: ${seal}\r\nContent-Length: 9\r\n`
                        + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                        + `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
                );
                response.socket.end();
                return;
            }
            response.writeHead(200, {
                "Request-Id": requestId,
                "Response-Seal": seal,
                "content-length": body.length,
            });
            response.end(body);
        };
    };
    const { nodes } = await startMesh(context, {
        routes: [{ kind: "idempotent", path: "/stock/", service: "ledger" }],
        servers: [{ run: createBehaviour(isTroubled), service: "ledger" }, {
            run: createBehaviour(false),
            service: "ledger",
        }],
    });
    const [{ daemon }] = nodes;
    const broken = [];
    const consume = async consumer => {
        for (let number = 1; number <= REQUESTS_PER_CONSUMER; number++) {
            const id = `stock-${consumer}-${number}`;
            const { body, excess, hasWholeLength, seal, status } = await sendPlainly(
                daemon.callerPort,
                id,
                `/stock/${number}`,
            );
            log(`${id}: status ${status}, body "${body}", bytes after the answer: "${excess}"`);
            if (status === 200 && hasWholeLength && seal !== computeSeal(id, body)) {
                broken.push(`MIXED: ${id} got 200 with "${body}", which isn't the server's whole body`);
            }
            if (excess !== "") {
                broken.push(`MIXED: after the answer to ${id} came "${excess}", which is no answer`);
            }
        }
    };
    await Promise.all(Array.from({ length: CONSUMERS }, (_, index) => consume(index + 1)));
    return broken;
});
