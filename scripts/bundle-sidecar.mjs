// Bundles the daemon of the platform into one file, whose start needs few system calls.
import { build } from "esbuild";

const [outfile] = process.argv.slice(2);

await build({
    // Optional parts of libraries, such as native code, are not looked for: they would only use memory.
    banner: {
        js: "import { createRequire as createBundleRequire } from \"node:module\"; "
            + "const require = createBundleRequire(\"file:///\");",
    },
    bundle: true,
    entryPoints: ["platform/papayaturn-sidecar.ts"],
    external: ["bufferutil", "utf-8-validate", "dtrace-provider", "mv", "safe-json-stringify"],
    format: "esm",
    keepNames: false,
    minifySyntax: true,
    minifyWhitespace: true,
    outfile,
    platform: "node",
    target: "node20",
});
