import { readFile } from "node:fs/promises";
import { expect, test } from "vitest";
import { renderConfigurationPage } from "../../../../state/document/index.js";
import { renderCliPage } from "../../index.js";

// Guards against pages that describe removed settings or options, or omit new ones.
test.each(
    [
        ["configuration", () => Promise.resolve(renderConfigurationPage())],
        ["cli", renderCliPage],
    ] as const,
)("docs/%s.md equals the output of its npm script", async (name, renderPage) => {
    expect(await readFile(`docs/${name}.md`, "utf8")).toBe(await renderPage());
});
