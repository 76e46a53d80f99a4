import type { MeshComponent, MeshContext } from "./MeshContext.js";

/** Time without contact after which a daemon whose store answers acts as the first daemon of the mesh. */
const BOOTSTRAP_TIMEOUT_MS = 2_000;
/** Spreads daemons that start at the same time, so that the later ones find the first. */
const BOOTSTRAP_JITTER_MS = 2_000;

/**
 * Tracks whether this daemon has joined the mesh. A daemon that has just started knows no other member,
 * and would otherwise act as the only relay of a mesh with one failure domain.
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
        // With an unreachable store and no answering seed, a first daemon cannot be told from one that is cut off.
        const isFirst = this.isStoreReachable() === true && this.context.now() >= this.bootstrapDeadline;
        this.joined = hasContact || isFirst;
    }
}
