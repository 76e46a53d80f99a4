import { createServer } from "node:http";
import type { IncomingMessage, Server } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { CostlyReads, registerPacedRequests } from "../../index.js";

const cleanups: (() => void)[] = [];

afterEach(() => {
    cleanups.splice(0).reverse().forEach(cleanUp => cleanUp());
});

interface ReadRequest {
    readonly body: string;
    readonly pieces: number;
}

/** A server that reads each body and answers with its length; rejects a body above the limit. */
async function openServer(limitBytes = Infinity) {
    const requests: ReadRequest[] = [];
    const reads = new CostlyReads(createSilentLogger(), () => performance.now());
    const server: Server = createServer((request, response) => {
        void readBody(request, limitBytes).then(
            result => {
                requests.push(result);
                response.end(String(result.body.length));
            },
            () => response.writeHead(413, { connection: "close" }).end(),
        );
    });
    registerPacedRequests(server, reads, () => performance.now());
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    cleanups.push(() => {
        server.close();
        server.closeAllConnections();
    });
    return { port: (server.address() as AddressInfo).port, reads, requests };
}

async function readBody(request: IncomingMessage, limitBytes: number): Promise<ReadRequest> {
    const pieces: Buffer[] = [];
    let length = 0;
    for await (const piece of request as AsyncIterable<Buffer>) {
        pieces.push(piece);
        length += piece.length;
        if (length > limitBytes) {
            throw new Error("the body is too long");
        }
    }
    return { body: Buffer.concat(pieces).toString("latin1"), pieces: pieces.length };
}

function openSocket(port: number): { readonly socket: Socket; readonly readText: () => string; } {
    const socket = connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", (data: Buffer) => {
        text += data.toString("latin1");
    });
    socket.on("error", () => undefined);
    cleanups.push(() => socket.destroy());
    return { readText: () => text, socket };
}

const HEAD = "POST / HTTP/1.1\r\nHost: x\r\n";

function formatChunked(body: string): string {
    return `${HEAD}Transfer-Encoding: chunked\r\n\r\n${
        [...body].map(character => `1\r\n${character}\r\n`).join("")
    }0\r\n\r\n`;
}

/** Guards against bodies of callers in tiny chunks, which Node.js parses without a break and holds chunk by chunk. */
describe("requests whose bodies are cut into tiny chunks", () => {
    const body = "0123456789".repeat(6_000);

    it("are read whole, in few pieces, and the connection serves the next request", async () => {
        const { port, requests } = await openServer();
        const { readText, socket } = openSocket(port);
        socket.write(formatChunked(body) + `${HEAD}Content-Length: 3\r\n\r\nabc`);
        await expect.poll(() => requests.length, { timeout: 20_000 }).toBe(2);
        expect(requests.map(request => request.body)).toEqual([body, "abc"]);
        expect(requests[0]?.pieces).toBeLessThanOrEqual(formatChunked(body).length / 2_048 + 10);
        await expect.poll(readText).toMatch(/60000[^]*\r\n3$|60000[^]*3$/);
    });

    it("take a quarter of the time at most, and leave the event loop between their parts", async () => {
        const { port, reads } = await openServer();
        for (let count = 0; count < 4; count++) {
            const { socket } = openSocket(port);
            socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`);
            const chunks = "1\r\nx\r\n".repeat(10_000);
            const write = (): void => {
                while (!socket.destroyed && socket.write(chunks)) {
                    // Goes on until the connection takes no more.
                }
            };
            socket.on("drain", write);
            write();
        }
        await expect.poll(() => reads.waiting).toBeGreaterThan(0);
        const before = reads.totalWorkMs;
        const startedAt = performance.now();
        await new Promise(resolve => setTimeout(resolve, 1_000));
        expect(reads.totalWorkMs - before).toBeLessThan(0.26 * (performance.now() - startedAt) + 10);
        expect(reads.totalWorkMs - before).toBeGreaterThan(0);
    });

    it("are rejected above the limit while the rest is still being sent", async () => {
        const { port } = await openServer(10_000);
        const { readText, socket } = openSocket(port);
        socket.write(formatChunked(body).slice(0, -5));
        await expect.poll(readText, { timeout: 10_000 }).toContain("413");
    });

    it("end with their caller", async () => {
        const { port, reads } = await openServer();
        const { socket } = openSocket(port);
        socket.write(formatChunked(body).slice(0, -5));
        await expect.poll(() => reads.totalWorkMs).toBeGreaterThan(1);
        socket.destroy();
        await expect.poll(() => reads.waiting, { timeout: 10_000 }).toBe(0);
    });

    it("are read whole when the caller closes its side right after them", async () => {
        const { port, requests } = await openServer();
        const { socket } = openSocket(port);
        socket.end(formatChunked(body));
        await expect.poll(() => requests.length, { timeout: 20_000 }).toBe(1);
        expect(requests[0]?.body).toBe(body);
    });
});
