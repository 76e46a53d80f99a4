export type { ExplainedServer, ExplainQuery, Explanation } from "./Explanation.js";
export type { ChooseServer, ProxyLog, RequestProxyOptions, ServerChoice, TakeRetry } from "./ProxyContext.js";
export { startRequestProxy } from "./RequestProxy.js";
export type { RequestProxy } from "./RequestProxy.js";
