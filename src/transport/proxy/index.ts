export type { ExplainedServer, ExplainQuery, Explanation } from "./Explanation.js";
export type { ProxyLog, RequestProxyOptions, SelectServer, ServerQuery, TakeRetry } from "./ProxyContext.js";
export { startRequestProxy } from "./RequestProxy.js";
export type { RequestProxy } from "./RequestProxy.js";
