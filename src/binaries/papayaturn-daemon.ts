#!/usr/bin/env node
/** The daemon of one backend server; docs/operating.md describes its settings. */
import { runDaemonProcess } from "./DaemonProcess.js";

await runDaemonProcess(process.argv.slice(2));
