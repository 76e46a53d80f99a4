export type { PeerListener, PeerNetwork } from "./PeerNetwork.js";
export { createWebSocketNetwork } from "./WebSocketNetwork.js";
