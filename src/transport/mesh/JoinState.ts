import type { MeshContext, MeshPart } from "./MeshContext.js";

/** Time without reaching any entry after which a daemon with an answering store counts itself as the first. */
const ALONE_AFTER_MS = 2_000;

/**
 * Whether this daemon has joined. One that has only just started knows no other member, and would
 * otherwise take itself for the only relay of a mesh with one failure domain.
 */
export class JoinState implements MeshPart {
    readonly handlers = {};
    private joined = false;
    private readonly startedAt: number;

    constructor(private readonly context: MeshContext, private readonly isStoreReachable: () => boolean | undefined) {
        this.startedAt = context.now();
    }

    isJoined(): boolean {
        return this.joined;
    }

    tick(): void {
        if (this.joined) {
            return;
        }
        const hasContact = this.context.table.size > 1 && this.context.links.listTree().length > 0;
        // With the store unreachable and no seed answering, nothing tells a first daemon from a cut-off one.
        const isFirst = this.isStoreReachable() === true && this.context.now() - this.startedAt >= ALONE_AFTER_MS;
        this.joined = hasContact || isFirst;
    }
}
