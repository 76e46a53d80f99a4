/** The demo's daemon: the production daemon with the simulated link delays of the example document. */
import { runDaemonProcess } from "../src/binaries/DaemonProcess.js";
import { createDemoDelay, decodeLinks, DEMO_LINKS_VARIABLE } from "./DemoLinks.js";

const links = process.env[DEMO_LINKS_VARIABLE];
await runDaemonProcess(process.argv.slice(2), links === undefined ? undefined : createDemoDelay(decodeLinks(links)));
