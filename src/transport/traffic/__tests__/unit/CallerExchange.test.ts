import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import type { AnswerHead } from "../../../ownership/index.js";
import { UplinkSender } from "../../../uplink/index.js";
import { CallerExchange } from "../../CallerExchange.js";

const cleanups: (() => void)[] = [];

afterEach(() => {
    for (const cleanUp of cleanups.splice(0)) {
        cleanUp();
    }
});

function createHead(fields: Partial<AnswerHead> = {}): AnswerHead {
    return { headers: [], isCloseDelimited: false, queuedMs: 0, status: 200, workMs: 1, ...fields };
}

/** Sends one request; its exchange is handled by `handle`. Resolves with the answer. */
async function answerOne(handle: (exchange: CallerExchange) => void): Promise<{ status: number; text: string; }> {
    const server = createServer((request, response) => {
        const uplink = new UplinkSender(undefined, () => performance.now());
        handle(new CallerExchange(request, response, () => false, uplink));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    cleanups.push(() => {
        server.closeAllConnections();
        server.close();
    });
    const answer = await fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`);
    return { status: answer.status, text: await answer.text() };
}

const UNWRITABLE_HEADS: Readonly<Record<string, AnswerHead>> = {
    "a header value with a line end": createHead({ headers: ["x-a", "b\r\nx-c: d"] }),
    "a name without a value": createHead({ headers: ["x-a"] }),
    "a status above 599": createHead({ status: 600 }),
    "a status of interim answers": createHead({ status: 100 }),
};

// Guards against an exception of Node.js that leaves a caller without an answer, after another daemon has passed on a head.
describe("an answer whose head can't be written", () => {
    it.each(Object.entries(UNWRITABLE_HEADS))("is replaced by a bad gateway: %s", async (_name, head) => {
        const answer = await answerOne(caller => {
            expect(() => caller.sendAnswer(head, Buffer.from("body"))).toThrow();
            caller.sendFault("the answer can't be written");
        });
        expect(answer.status).toBe(502);
        expect(answer.text).toContain("the answer can't be written");
    });
});

// Guards against the length that another daemon has copied from an answer in chunks.
describe("a whole answer", () => {
    it("gets the length of its body in place of the stated one", async () => {
        const answer = await answerOne(caller =>
            caller.sendAnswer(createHead({ headers: ["Content-Length", "2"] }), Buffer.from("body"))
        );
        expect(answer).toEqual({ status: 200, text: "body" });
    });

    it("is sent without the names of trailers, which Node.js refuses beside a length", async () => {
        const answer = await answerOne(caller =>
            caller.sendAnswer(createHead({ headers: ["Trailer", "X-Sum"] }), Buffer.from("body"))
        );
        expect(answer).toEqual({ status: 200, text: "body" });
    });
});
