export { MemberState } from "./Member.js";
export type { Member, ServerRecord } from "./Member.js";
export { compareRecords, isPresent, isSameLocation } from "./MemberMerge.js";
export { computeRendezvousScore, DIGEST_BUCKETS, MemberTable } from "./MemberTable.js";
export type { DomainDigest } from "./MemberTable.js";
