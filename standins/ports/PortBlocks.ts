/**
 * Divides a range of ports between the test processes of a machine. A process holds a block while it runs: the file
 * `<block>.<generation>` with the highest generation names the process, and only one process can create the next one.
 */
import { mkdirSync, readdirSync, readFileSync, unlinkSync, writeFileSync } from "node:fs";
import { join } from "node:path";

/** More than the test processes that a machine runs at a time. */
export const PORT_BLOCKS = 50;

/** Claims a block for the process `pid` and returns its number; throws when running processes hold all blocks. */
export function claimBlock(directory: string, pid: number, isRunning = isProcessRunning): number {
    mkdirSync(directory, { recursive: true });
    for (let attempt = 0; attempt < PORT_BLOCKS; attempt++) {
        // Processes begin at different blocks, so that few of them compete for one.
        const block = (pid + attempt) % PORT_BLOCKS;
        if (tryClaim(directory, block, pid, isRunning)) {
            return block;
        }
    }
    throw new Error(`all ${PORT_BLOCKS} blocks of test ports are in use; their files are in ${directory}`);
}

function tryClaim(directory: string, block: number, pid: number, isRunning: (pid: number) => boolean): boolean {
    const last = Math.max(0, ...listGenerations(directory, block));
    if (last > 0 && isHeld(join(directory, `${block}.${last}`), isRunning)) {
        return false;
    }
    const path = join(directory, `${block}.${last + 1}`);
    if (!tryCreate(path, pid)) {
        return false;
    }
    // Another process may have claimed and cleaned up in between.
    if (listGenerations(directory, block).some(generation => generation > last + 1)) {
        tryUnlink(path);
        return false;
    }
    for (const generation of listGenerations(directory, block)) {
        if (generation <= last) {
            tryUnlink(join(directory, `${block}.${generation}`));
        }
    }
    return true;
}

function listGenerations(directory: string, block: number): number[] {
    return readdirSync(directory)
        .filter(name => name.startsWith(`${block}.`))
        .map(name => Number(name.slice(name.indexOf(".") + 1)));
}

function tryCreate(path: string, pid: number): boolean {
    try {
        writeFileSync(path, String(pid), { flag: "wx" });
        return true;
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "EEXIST") {
            return false;
        }
        throw error;
    }
}

function tryUnlink(path: string): void {
    try {
        unlinkSync(path);
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code !== "ENOENT") {
            throw error;
        }
    }
}

/** Whether a running process holds a block; a file that is just being written or was replaced counts as held. */
function isHeld(path: string, isRunning: (pid: number) => boolean): boolean {
    try {
        const text = readFileSync(path, "utf8");
        return text === "" || isRunning(Number(text));
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "ENOENT") {
            return true;
        }
        throw error;
    }
}

function isProcessRunning(pid: number): boolean {
    try {
        return process.kill(pid, 0);
    }
    catch (error) {
        // A process of another user can't be signalled, but it runs.
        return (error as NodeJS.ErrnoException).code === "EPERM";
    }
}
