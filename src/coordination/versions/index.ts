export { createVersionAccess } from "./VersionAccess.js";
