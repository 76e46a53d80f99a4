/** Writes a generated page of docs/: `cli` or `configuration`. Requires a build. */
import { writeFile } from "node:fs/promises";

const PAGES = {
    cli: async () => (await import("../dist/src/console/cli/index.js")).renderCliPage(),
    configuration: async () => (await import("../dist/src/state/document/index.js")).renderConfigurationPage(),
};

const name = process.argv[2];
const renderPage = PAGES[name];
if (renderPage === undefined) {
    process.stderr.write(`write-page: expected one of ${Object.keys(PAGES).join(", ")}.\n`);
    process.exitCode = 2;
}
else {
    await writeFile(new URL(`../docs/${name}.md`, import.meta.url), await renderPage());
}
