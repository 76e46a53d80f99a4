export { OpenRequests } from "./OpenRequests.js";
export { isReset } from "./SocketEnd.js";
