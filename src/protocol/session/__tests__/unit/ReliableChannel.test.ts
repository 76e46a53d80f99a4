import { describe, expect, it } from "vitest";
import { FrameQueue, MessageError } from "../../../peer/index.js";
import type { FrameConnection } from "../../../peer/index.js";
import { decodeSessionMessage, encodeSessionMessage, ReliableChannel } from "../../index.js";
import type { SessionMessage } from "../../index.js";

function createConnection(): FrameConnection & { sent: SessionMessage[]; } {
    const sent: SessionMessage[] = [];
    return {
        close: () => undefined,
        getBufferedBytes: () => 0,
        getReceivedBytes: () => 0,
        frames: new FrameQueue(),
        send: frame => sent.push(decodeSessionMessage(frame)),
        sent,
    };
}

const cancel = (stream: number): SessionMessage => ({ kind: "cancel", stream });

// Guards against messages that are lost or delivered twice when a connection is replaced.
describe("messages over successive connections", () => {
    it("are sent again from the first one that the peer has not received", () => {
        const channel = new ReliableChannel();
        const first = createConnection();
        channel.attach(first, 0);
        [1, 2, 3].forEach(stream => channel.send(cancel(stream)));
        channel.detach(first);
        channel.send(cancel(4));
        const second = createConnection();
        expect(channel.attach(second, 2)).toBe(true);
        expect(second.sent).toEqual([cancel(3), cancel(4)]);
    });

    it("are not sent again once they are acknowledged or when the next message replaces them", () => {
        const channel = new ReliableChannel();
        channel.attach(createConnection(), 0);
        channel.send(cancel(1));
        channel.send({ kind: "configurationRequest" });
        expect(channel.acknowledge(1)).toBe(true);
        const next = createConnection();
        channel.attach(next, 1);
        expect(next.sent).toEqual([]);
    });

    it("are not resumed from a count that the peer can't have received", () => {
        const channel = new ReliableChannel();
        channel.send(cancel(1));
        expect(channel.attach(createConnection(), 2)).toBe(false);
        expect(channel.acknowledge(1)).toBe(true);
        expect(channel.acknowledge(0)).toBe(false);
    });

    it("are refreshed when they are sent again", () => {
        const channel = new ReliableChannel();
        channel.send(cancel(1));
        const connection = createConnection();
        channel.attach(connection, 0, () => cancel(9));
        expect(connection.sent).toEqual([cancel(9)]);
    });

    it("are acknowledged after a number of frames without waiting for a ping", () => {
        const channel = new ReliableChannel();
        const connection = createConnection();
        channel.attach(connection, 0);
        for (let count = 0; count < 64; count++) {
            channel.recordReceived(10);
        }
        expect(connection.sent).toEqual([{ kind: "acknowledge", received: 64 }]);
    });

    it("make the channel unwritable while the send window is full", () => {
        const channel = new ReliableChannel();
        channel.send({ body: new Uint8Array(300_000), kind: "answerData", stream: 1 });
        expect(channel.isWritable).toBe(false);
        channel.acknowledge(1);
        expect(channel.isWritable).toBe(true);
    });
});

describe("malformed frames", () => {
    it.each([
        ["nothing", new Uint8Array(0)],
        ["random bytes", new Uint8Array([1, 2, 3, 250])],
        ["an unknown kind", new Uint8Array([0x92, 0x7f, 0x01])],
    ])("are refused when they are %s", (_name, frame) => {
        expect(() => decodeSessionMessage(frame)).toThrow(MessageError);
    });

    it("are refused when a field has another type", () => {
        const frame = encodeSessionMessage({ kind: "cancel", stream: "1" as unknown as number });
        expect(() => decodeSessionMessage(frame)).toThrow("cancel.stream");
    });
});
