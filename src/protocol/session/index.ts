export { ReliableChannel } from "./ReliableChannel.js";
export {
    decodeSessionMessage,
    encodeSessionMessage,
    isGossip,
    isSequenced,
    SESSION_FRAME_LIMIT_BYTES,
} from "./SessionMessages.js";
export type { GossipMessage, SessionMessage, SessionMessageKind, SessionMessageOf } from "./SessionMessages.js";
