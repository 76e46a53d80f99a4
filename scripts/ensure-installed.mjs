// Installs the locked packages unless node_modules was last installed from the same package-lock.json.
// `npm ci` is not used, because it removes node_modules, which several checkouts may share.
import { spawnSync } from "node:child_process";
import { createHash } from "node:crypto";
import { existsSync, readFileSync, writeFileSync } from "node:fs";

const LOCK_HASH_FILE = "node_modules/.lock-hash";
const hash = createHash("sha256").update(readFileSync("package-lock.json")).digest("hex");

if (!existsSync(LOCK_HASH_FILE) || readFileSync(LOCK_HASH_FILE, "utf8") !== hash) {
    const result = spawnSync("npm", ["install", "--no-save", "--no-fund", "--no-audit"], {
        stdio: ["ignore", "ignore", "inherit"],
    });
    if (result.status !== 0) {
        process.exit(result.status ?? 1);
    }
    writeFileSync(LOCK_HASH_FILE, hash);
}
