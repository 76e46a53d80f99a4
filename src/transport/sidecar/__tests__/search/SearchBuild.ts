/** Builds the search with a mutant of the product and runs it in a process of its own. */
import { build } from "esbuild";
import type { Plugin } from "esbuild";
import { spawn } from "node:child_process";
import { mkdir, readFile } from "node:fs/promises";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { invariant } from "../../../../state/shared/index.js";
import type { Mutant } from "./Mutants.js";
import { FOUND_EXIT_CODE } from "./SearchExitCode.js";

const OWN_FOLDER = dirname(fileURLToPath(import.meta.url));
const ROOT = resolve(OWN_FOLDER, "../../../../..");
export const OUTPUT_FOLDER = join(ROOT, "target/search");
/** Bundles the search with the product or with mutants of it, which may be in one file. */
export async function buildSearch(mutants: readonly Mutant[], outfile: string): Promise<void> {
    await mkdir(OUTPUT_FOLDER, { recursive: true });
    await build({
        banner: {
            js: "import { createRequire as createBundleRequire } from \"node:module\"; "
                + "const require = createBundleRequire(import.meta.url);",
        },
        bundle: true,
        entryPoints: [join(OWN_FOLDER, "main.ts")],
        external: ["bufferutil", "utf-8-validate"],
        format: "esm",
        logLevel: "error",
        outfile,
        platform: "node",
        plugins: [createReplacements(mutants)],
        target: "node20",
    });
}

export function createReplacements(mutants: readonly Mutant[]): Plugin {
    return {
        name: "mutants",
        setup: ({ onLoad }) => {
            onLoad({ filter: /\.ts$/ }, async args => {
                const replacements = mutants.filter(({ file }) => join(ROOT, file) === args.path);
                if (replacements.length === 0) {
                    return undefined;
                }
                const text = await readFile(args.path, "utf8");
                return { contents: replacements.reduce(replaceText, text), loader: "ts" };
            });
        },
    };
}

function replaceText(text: string, { file, from, name, to }: Mutant): string {
    invariant(text.split(from).length === 2, `${file} has the text of "${name}" once`);
    return text.replace(from, () => to);
}

/** Result of a search in a process of its own. */
export interface SearchRun {
    readonly isFound: boolean;
    readonly output: string;
}

/** Runs a search; rejects when it neither completes nor finds a violation. */
export function runSearch(bundle: string, options: readonly string[]): Promise<SearchRun> {
    return new Promise((resolveRun, reject) => {
        const child = spawn(process.execPath, [bundle, ...options], { stdio: ["ignore", "pipe", "inherit"] });
        let output = "";
        child.stdout.on("data", (data: Buffer) => {
            output += data.toString();
        });
        child.on("error", reject);
        child.on("close", (code, signal) => {
            if (code === 0 || code === FOUND_EXIT_CODE) {
                resolveRun({ isFound: code === FOUND_EXIT_CODE, output });
            }
            else {
                reject(new Error(`the search of ${bundle} ended with ${signal ?? `exit code ${code}`}`));
            }
        });
    });
}
