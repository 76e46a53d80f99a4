export { MemberState } from "./Member.js";
export type { Member, ServerRecord } from "./Member.js";
