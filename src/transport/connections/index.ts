export { isReset } from "./SocketEnd.js";
