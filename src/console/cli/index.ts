export { COMMANDS, runCli } from "./Cli.js";
export type { CliContext } from "./CliContext.js";
export { ExitCode } from "./ExitCode.js";
