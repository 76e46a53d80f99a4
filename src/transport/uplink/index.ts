export { LinkDirection, LinkTraffic, LinkTrafficKind } from "./LinkTraffic.js";
export type { LinkTrafficCount } from "./LinkTraffic.js";
export { UplinkSender } from "./UplinkSender.js";
