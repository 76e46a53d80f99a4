/** Frames of peer messages: one flag byte, then msgpack, deflated above a size threshold. */
import { Packr } from "msgpackr";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { MessageError } from "./FieldCodec.js";
import { decodeMessageValue, encodeMessageValue } from "./Messages.js";
import type { PeerMessage } from "./Messages.js";

/** Maximum size of a frame: 1 MiB for a value of the store and 64 KiB for the enclosing message. */
export const FRAME_LIMIT_BYTES = 1_048_576 + 65_536;
/** Messages larger than this are deflated. */
const DEFLATE_THRESHOLD_BYTES = 1_024;
/** Maximum size of the inflated content of a frame. */
const INFLATED_LIMIT_BYTES = 8 * FRAME_LIMIT_BYTES;

const FLAG_PLAIN = 0;
const FLAG_DEFLATED = 1;

const packr = new Packr({ mapsAsObjects: true, useRecords: false });

export function encodeMessage(message: PeerMessage): Uint8Array {
    const packed = packr.pack(encodeMessageValue(message));
    const isDeflated = packed.length > DEFLATE_THRESHOLD_BYTES;
    const body = isDeflated ? deflateRawSync(packed) : packed;
    const frame = Buffer.allocUnsafe(body.length + 1);
    frame[0] = isDeflated ? FLAG_DEFLATED : FLAG_PLAIN;
    frame.set(body, 1);
    return frame;
}

/** Decodes a frame; throws `MessageError` unless it is exactly one valid message. */
export function decodeMessage(frame: Uint8Array): PeerMessage {
    if (frame.length > FRAME_LIMIT_BYTES) {
        throw new MessageError(`frame of ${frame.length} bytes is above the limit of ${FRAME_LIMIT_BYTES}`);
    }
    return decodeMessageValue(unpackFrame(frame));
}

function unpackFrame(frame: Uint8Array): unknown {
    const body = frame.subarray(1);
    try {
        if (frame[0] === FLAG_DEFLATED) {
            return packr.unpack(inflateRawSync(body, { maxOutputLength: INFLATED_LIMIT_BYTES }));
        }
        if (frame[0] === FLAG_PLAIN) {
            return packr.unpack(body);
        }
    }
    catch (error) {
        throw new MessageError(`frame cannot be unpacked: ${error instanceof Error ? error.message : "unknown"}`);
    }
    throw new MessageError(`unknown frame flag ${frame[0]}`);
}
