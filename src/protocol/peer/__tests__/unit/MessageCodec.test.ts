import fc from "fast-check";
import { Packr } from "msgpackr";
import { deflateRawSync } from "node:zlib";
import { expect, test } from "vitest";
import { decodeMessage, encodeMessage, FRAME_LIMIT_BYTES, MessageError } from "../../index.js";
import type { PeerMessage } from "../../index.js";

const FUZZ = { numRuns: 2_000, seed: 20_261_204 };

function createMessages(): readonly PeerMessage[] {
    const member = {
        address: "10.0.0.1",
        failureDomain: "erie-a",
        id: "erie-a-1",
        incarnation: 1_700_000_000_000,
        peerPort: 7_000,
        region: "erie",
        relayPort: 7_001,
        revision: 3,
        state: "live",
    } as const;
    const server = { address: "10.0.0.1", connections: 120, port: 80, service: "ledger", slots: 12 };
    return [
        { kind: "welcome" },
        { cutOff: [{ domain: "erie-b", since: 5 }], kind: "beat" },
        { kind: "members", records: [member, { ...member, server }], services: ["ledger"] },
        { floor: undefined, kind: "floorAnswer", request: 1 },
        { floor: 7, kind: "floorAnswer", request: 2 },
        {
            changed: [{ content: "x".repeat(5_000), hash: "ab", name: "route/a" }],
            fromRoot: "",
            kind: "update",
            manifest: {
                author: "ada",
                mac: "m",
                message: "",
                parts: ["p"],
                previous: undefined,
                root: "r",
                time: 1,
                version: 1,
            },
            manifestKey: "config/manifests/x",
            part: 0,
            parts: 1,
            removed: ["route/b"],
        },
    ];
}

// Guards against fields that are lost or swapped by encoding and decoding.
test("an encoded message decodes to an equal message", () => {
    for (const message of createMessages()) {
        expect(decodeMessage(encodeMessage(message))).toEqual(message);
    }
});

// Guards against a hostile or corrupted frame that crashes the process or is accepted without validation.
test("decoding arbitrary bytes gives a valid message or throws a MessageError", () => {
    const frames = createMessages().map(message => encodeMessage(message));
    const damaged = fc.tuple(
        fc.constantFrom(...frames),
        fc.array(fc.tuple(fc.nat(), fc.nat(255)), { maxLength: 4 }),
        fc.nat(),
    )
        .map(([frame, changes, cut]) => {
            const copy = Buffer.from(frame);
            changes.forEach(([at, byte]) => copy[at % copy.length] = byte);
            return copy.subarray(0, 1 + cut % copy.length);
        });
    fc.assert(
        fc.property(fc.oneof(fc.uint8Array({ maxLength: 64 }), damaged), frame => {
            try {
                expect(encodeMessage(decodeMessage(frame)).length).toBeGreaterThan(0);
            }
            catch (error) {
                expect(error).toBeInstanceOf(MessageError);
            }
        }),
        FUZZ,
    );
});

// Guards against memory exhaustion by an oversized frame or by one that inflates to too many bytes.
test("frames above the size limit and decompression bombs are rejected", () => {
    expect(() => decodeMessage(new Uint8Array(FRAME_LIMIT_BYTES + 1))).toThrow(MessageError);
    const bomb = Buffer.concat([Buffer.from([1]), deflateRawSync(new Packr().pack("x".repeat(64 * 1_048_576)))]);
    expect(bomb.length).toBeLessThan(FRAME_LIMIT_BYTES);
    expect(() => decodeMessage(bomb)).toThrow(MessageError);
});

// Guards against values of the right type outside their range.
test.each([
    [7, [["erie-a-1"]]],
    [5, [[["erie-b", -1]]]],
    [5, [[["erie-b", 1.5]]]],
    [9_999, []],
])("a message of kind %d with fields %j is rejected", (kind, fields) => {
    const frame = Buffer.concat([Buffer.from([0]), new Packr({ useRecords: false }).pack([kind, fields])]);
    expect(() => decodeMessage(frame)).toThrow(MessageError);
});
