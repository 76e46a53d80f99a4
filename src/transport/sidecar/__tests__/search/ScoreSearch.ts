/**
 * Plays the search on spoilt builds and prints after how many histories it finds each:
 * `npm run search:score -- --seed 1 --runs 100 --jobs 4`. The sound build is played for comparison.
 */
import { defineCommand, runMain } from "citty";
import { build } from "esbuild";
import type { Plugin } from "esbuild";
import { spawn } from "node:child_process";
import { mkdir, readFile } from "node:fs/promises";
import { join, resolve } from "node:path";
import { invariant } from "../../../../state/shared/index.js";
import { SPOILT_BUILDS } from "./SpoiltBuilds.js";
import type { SpoiltBuild } from "./SpoiltBuilds.js";

const ROOT = resolve(import.meta.dirname, "../../../../..");
const OUTPUT_FOLDER = join(ROOT, "target/search");
const NOT_FOUND_EXIT_CODE = 1;

/** Bundles the search with the product, one text of which is replaced. */
export async function buildSearch(spoilt: SpoiltBuild | undefined, outfile: string): Promise<void> {
    await mkdir(OUTPUT_FOLDER, { recursive: true });
    await build({
        banner: {
            js: "import { createRequire as createBundleRequire } from \"node:module\"; "
                + "const require = createBundleRequire(import.meta.url);",
        },
        bundle: true,
        entryPoints: [join(import.meta.dirname, "main.ts")],
        external: ["bufferutil", "utf-8-validate"],
        format: "esm",
        logLevel: "error",
        outfile,
        platform: "node",
        plugins: spoilt === undefined ? [] : [createReplacement(spoilt)],
        target: "node20",
    });
}

function createReplacement({ file, from, name, to }: SpoiltBuild): Plugin {
    const path = join(ROOT, file);
    return {
        name,
        setup: ({ onLoad }) => {
            onLoad({ filter: /\.ts$/ }, async args => {
                if (args.path !== path) {
                    return undefined;
                }
                const text = await readFile(path, "utf8");
                invariant(text.split(from).length === 2, `${file} has the text of "${name}" once`);
                return { contents: text.replace(from, () => to), loader: "ts" };
            });
        },
    };
}

/** Result of a search in a process of its own. */
export interface SearchRun {
    readonly isFound: boolean;
    readonly output: string;
}

export function runSearch(bundle: string, options: readonly string[]): Promise<SearchRun> {
    return new Promise((resolveRun, reject) => {
        const child = spawn(process.execPath, [bundle, ...options], { stdio: ["ignore", "pipe", "inherit"] });
        let output = "";
        child.stdout.on("data", (data: Buffer) => {
            output += data.toString();
        });
        child.on("error", reject);
        child.on("close", code => resolveRun({ isFound: code === 1, output }));
    });
}

function formatRow(name: string, { isFound, output }: SearchRun): string {
    const histories = /: (\d+) histories/.exec(output)?.[1] ?? "?";
    const rule = /"rule":"([^"]+)"/.exec(output)?.[1] ?? "";
    return isFound ? `| ${name} | ${histories} | ${rule} |` : `| ${name} | not in ${histories} | |`;
}

async function runAll(options: readonly string[], jobs: number, only: string | undefined): Promise<number> {
    const builds = SPOILT_BUILDS.filter(({ name }) => only === undefined || new RegExp(only).test(name));
    const waiting = [...builds.entries()];
    let found = 0;
    const work = async (): Promise<void> => {
        for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
            const [index, spoilt] = next;
            const bundle = join(OUTPUT_FOLDER, `spoilt-${index}.mjs`);
            await buildSearch(spoilt, bundle);
            const run = await runSearch(bundle, options);
            found += run.isFound ? 1 : 0;
            process.stdout.write(`${formatRow(spoilt.name, run)}\n`);
        }
    };
    await Promise.all(Array.from({ length: jobs }, work));
    process.stdout.write(`found ${found} of ${builds.length}\n`);
    return builds.length - found;
}

if (process.argv[1] === import.meta.filename) {
    void runMain(defineCommand({
        args: {
            climb: {
                default: false,
                description: "begin from the histories with the latest versions",
                type: "boolean",
            },
            jobs: { default: "4", description: "searches at a time", type: "string" },
            only: { description: "pattern of the names of the builds that are played", type: "string" },
            runs: { default: "100", description: "histories for each build", type: "string" },
            seed: { default: "1", description: "seed of the searches", type: "string" },
        },
        meta: { description: "Counts the histories until the search finds spoilt builds.", name: "search:score" },
        run: async ({ args }) => {
            const options = [
                "--seed",
                args.seed,
                "--runs",
                args.runs,
                "--shorten",
                "0",
                ...args.climb ? ["--climb"] : [],
            ];
            const missed = await runAll(options, Number(args.jobs), args.only);
            process.exitCode = missed > 0 ? NOT_FOUND_EXIT_CODE : 0;
        },
    }));
}
