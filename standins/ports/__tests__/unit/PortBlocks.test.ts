/** Guards against two test runs on one machine that use the same ports, so that servers fail to listen. */
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { afterEach, describe, expect, it } from "vitest";
import { claimBlock, PORT_BLOCKS } from "../../PortBlocks.js";

const directories: string[] = [];

function createDirectory(): string {
    const directory = mkdtempSync(join(tmpdir(), "port-blocks-"));
    directories.push(directory);
    return directory;
}

afterEach(() => {
    for (const directory of directories.splice(0)) {
        rmSync(directory, { recursive: true });
    }
});

describe("blocks of test ports", () => {
    it("differ between running processes that begin at the same block", () => {
        const directory = createDirectory();
        const pids = [7, 7 + PORT_BLOCKS, 7 + 2 * PORT_BLOCKS];
        expect(new Set(pids.map(pid => claimBlock(directory, pid, () => true))).size).toBe(pids.length);
    });

    it("are given on once the process that holds one has ended", () => {
        const directory = createDirectory();
        const block = claimBlock(directory, 7);
        expect(claimBlock(directory, 7 + PORT_BLOCKS, pid => pid !== 7)).toBe(block);
        expect(claimBlock(directory, 7 + 2 * PORT_BLOCKS, pid => pid !== 7)).not.toBe(block);
    });

    it("are refused when running processes hold all of them", () => {
        const directory = createDirectory();
        for (let pid = 1; pid <= PORT_BLOCKS; pid++) {
            claimBlock(directory, pid, () => true);
        }
        expect(() => claimBlock(directory, PORT_BLOCKS + 1, () => true)).toThrow("are in use");
    });

    it("differ between processes that claim at the same time, also where ended ones held all blocks", async () => {
        const directory = createDirectory();
        for (let pid = 1; pid <= PORT_BLOCKS; pid++) {
            claimBlock(directory, pid, () => true);
        }
        const source = `import { claimBlock } from "./standins/ports/PortBlocks.js";
            console.log(claimBlock(${JSON.stringify(directory)}, process.pid, pid => pid > ${PORT_BLOCKS}));
            await new Promise(resolve => setTimeout(resolve, 300));`;
        const run = promisify(execFile);
        const blocks = await Promise.all(
            Array.from(
                { length: 6 },
                async () =>
                    (await run(process.execPath, ["--import", "tsx", "--input-type=module", "-e", source])).stdout
                        .trim(),
            ),
        );
        expect(new Set(blocks).size).toBe(blocks.length);
    });
});
