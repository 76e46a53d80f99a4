export { AttemptEffect, LoadBalancer } from "./LoadBalancer.js";
export type { LoadBalancerOptions, SelectionQuery } from "./LoadBalancer.js";
export { buildLocalityGroups, computeGroupShare } from "./LocalityGroups.js";
export type { Locality, LocalityGroups } from "./LocalityGroups.js";
export { OutlierEjection } from "./OutlierEjection.js";
export { ServerStatistics } from "./ServerStatistics.js";
export type { ReportedLoad } from "./ServerStatistics.js";
