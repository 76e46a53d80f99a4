export { takeTestPort } from "./TestPorts.js";
