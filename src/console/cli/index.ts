export { COMMANDS, runCli } from "./Cli.js";
export type { CliContext } from "./CliContext.js";
export { renderCliPage } from "./CliPage.js";
export { ExitCode } from "./ExitCode.js";
