export { UplinkSender } from "./UplinkSender.js";
