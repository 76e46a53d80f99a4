// Installs the locked packages when node_modules does not hold exactly what the lock file names.
// `npm ci` works as well; it is not used, since it removes node_modules that several checkouts may share.
import { spawnSync } from "node:child_process";
import { createHash } from "node:crypto";
import { existsSync, readFileSync, writeFileSync } from "node:fs";

const MARK = "node_modules/.lock-hash";
const hash = createHash("sha256").update(readFileSync("package-lock.json")).digest("hex");

if (!existsSync(MARK) || readFileSync(MARK, "utf8") !== hash) {
    const result = spawnSync("npm", ["install", "--no-save", "--no-fund", "--no-audit"], {
        stdio: ["ignore", "ignore", "inherit"],
    });
    if (result.status !== 0) {
        process.exit(result.status ?? 1);
    }
    writeFileSync(MARK, hash);
}
