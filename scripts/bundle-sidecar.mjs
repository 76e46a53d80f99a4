// Bundles the daemon of the platform into one file, whose start needs few system calls.
import { build } from "esbuild";

const [outfile] = process.argv.slice(2);

await build({
    banner: {
        js: "import { createRequire as createBundleRequire } from \"node:module\"; "
            + "const require = createBundleRequire(import.meta.url);",
    },
    bundle: true,
    entryPoints: ["platform/papayaturn-sidecar.ts"],
    external: ["bufferutil", "utf-8-validate", "dtrace-provider", "mv", "safe-json-stringify"],
    format: "esm",
    minify: false,
    outfile,
    platform: "node",
    target: "node20",
});
