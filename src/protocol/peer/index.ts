export {
    booleanCodec,
    createChoiceCodec,
    createIntegerCodec,
    createListCodec,
    createOptionalCodec,
    createRecordCodec,
    createTextCodec,
    MessageError,
    numberCodec,
} from "./FieldCodec.js";
export type { FieldCodec, RecordOf } from "./FieldCodec.js";
export type { FrameConnection } from "./FrameConnection.js";
export { FrameQueue } from "./FrameQueue.js";
export type { AuthenticatedPeer, PeerIdentity } from "./Handshake.js";
export { decodeMessage, encodeMessage, FRAME_LIMIT_BYTES } from "./MessageCodec.js";
export { LinkRole, memberCodec } from "./Messages.js";
export type { Candidate, CutOffDomain, MessageKind, MessageOf, PeerMessage } from "./Messages.js";
export { PeerSession } from "./PeerSession.js";
export type { SessionOptions } from "./PeerSession.js";
