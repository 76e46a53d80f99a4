export { decodeMessage, encodeMessage, FRAME_LIMIT_BYTES } from "./Codec.js";
export type { FrameConnection } from "./Connection.js";
export { FrameQueue } from "./FrameQueue.js";
export type { AuthenticatedPeer, PeerIdentity } from "./Handshake.js";
export { LinkRole, memberShape } from "./Messages.js";
export type { Candidate, CutOffDomain, MessageKind, MessageOf, PeerMessage } from "./Messages.js";
export { PeerSession } from "./PeerSession.js";
export type { SessionOptions } from "./PeerSession.js";
export {
    booleanShape,
    createChoiceShape,
    createIntegerShape,
    createListShape,
    createOptionalShape,
    createRecordShape,
    createTextShape,
    MessageError,
} from "./Shape.js";
export type { RecordOf, Shape } from "./Shape.js";
