export { ReliableChannel } from "./ReliableChannel.js";
export {
    decodeSessionMessage,
    encodeSessionMessage,
    isSequenced,
    SESSION_FRAME_LIMIT_BYTES,
} from "./SessionMessages.js";
export type { SessionMessage, SessionMessageKind, SessionMessageOf } from "./SessionMessages.js";
