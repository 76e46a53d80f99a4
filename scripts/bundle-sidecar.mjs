// Bundles the platform's sidecar into one file, because loading one file needs few system calls.
import { build } from "esbuild";

const [outfile] = process.argv.slice(2);

await build({
    // Bundled CommonJS modules need `require`. It resolves from the file system's root, so that optional packages,
    // such as native code, are not found: they would only use memory.
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
