/** Formats all sources as `dprint.json` says, or with `--check` lists those that differ and exits with 1. */
import { createContext } from "@dprint/formatter";
import { readdir, readFile, writeFile } from "node:fs/promises";
import { createRequire } from "node:module";
import { dirname, join, relative } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));
/** What `includes` and `excludes` of dprint.json say. */
const SOURCE_NAME = /\.(ts|tsx|js|mjs)$/;
const EXCLUDED_DIRECTORIES = new Set([".git", "node_modules", "dist", "target", "coverage"]);

async function* walkSources(directory) {
    for (const entry of await readdir(directory, { withFileTypes: true })) {
        const path = join(directory, entry.name);
        if (entry.isDirectory()) {
            if (!EXCLUDED_DIRECTORIES.has(entry.name)) {
                yield* walkSources(path);
            }
        }
        else if (entry.isFile() && SOURCE_NAME.test(entry.name)) {
            yield path;
        }
    }
}

/** The plugin runs as WebAssembly, so that formatting needs no native part and is the same on each processor. */
async function createFormatter() {
    const { indentWidth, lineWidth, newLineKind, typescript } = JSON.parse(
        await readFile(join(ROOT, "dprint.json"), "utf8"),
    );
    const plugin = createRequire(import.meta.url).resolve("@dprint/typescript/plugin.wasm");
    const context = createContext({ indentWidth, lineWidth, newLineKind });
    context.addPlugin(await readFile(plugin), typescript);
    const diagnostics = context.getConfigDiagnostics();
    if (diagnostics.length > 0) {
        throw new Error(`dprint.json: ${diagnostics.map(each => `${each.propertyName}: ${each.message}`).join("; ")}`);
    }
    return context;
}

const check = process.argv.includes("--check");
const formatter = await createFormatter();
let read = 0;
let different = 0;
for await (const path of walkSources(ROOT)) {
    read += 1;
    const text = await readFile(path, "utf8");
    const formatted = formatter.formatText({ filePath: path, fileText: text });
    if (formatted !== text) {
        different += 1;
        process.stdout.write(`${relative(ROOT, path)}\n`);
        if (!check) {
            await writeFile(path, formatted);
        }
    }
}
process.stdout.write(`format: read ${read} files, ${different} ${check ? "not formatted" : "formatted"}.\n`);
process.exitCode = check && different > 0 ? 1 : 0;
