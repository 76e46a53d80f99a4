import type { MeshComponent, MeshContext } from "./MeshContext.js";

/** Time without reaching any entry after which a daemon with an answering store counts itself as the first. */
const BOOTSTRAP_TIMEOUT_MS = 2_000;
/** Spreads the daemons that start at once, so that those that come later find the first one. */
const BOOTSTRAP_JITTER_MS = 2_000;

/**
 * Whether this daemon has joined. One that has only just started knows no other member, and would
 * otherwise take itself for the only relay of a mesh with one failure domain.
 */
export class JoinState implements MeshComponent {
    readonly handlers = {};
    private joined = false;
    private readonly bootstrapDeadline: number;

    constructor(private readonly context: MeshContext, private readonly isStoreReachable: () => boolean | undefined) {
        this.bootstrapDeadline = context.now() + BOOTSTRAP_TIMEOUT_MS + context.options.random() * BOOTSTRAP_JITTER_MS;
    }

    isJoined(): boolean {
        return this.joined;
    }

    tick(): void {
        if (this.joined) {
            return;
        }
        const hasContact = this.context.table.size > 1 && this.context.links.listTreeLinks().length > 0;
        // With the store unreachable and no seed answering, nothing tells a first daemon from a cut-off one.
        const isFirst = this.isStoreReachable() === true && this.context.now() >= this.bootstrapDeadline;
        this.joined = hasContact || isFirst;
    }
}
