/** Removes daemons that are gone, unless this one is isolated. A watcher of the store removes their records. */
import type { Member } from "../../state/members/index.js";
import type { SessionManager } from "../sessions/index.js";

/** Time after which an unreachable daemon is taken to be gone for good; longer than partitions between regions. */
const MEMBER_REMOVAL_DELAY_MS = 600_000;
const MEMBER_REMOVAL_INTERVAL_MS = 10_000;

export interface MemberRemovalOptions {
    readonly sessions: Pick<SessionManager, "listOwnerSessions">;
    readonly now: () => number;
    isIsolated(): boolean;
    remove(member: Member): void;
}

export class MemberRemoval {
    readonly #options: MemberRemovalOptions;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: MemberRemovalOptions) {
        this.#options = options;
    }

    start(): void {
        this.#timer = setInterval(() => this.#removeUnreachable(), MEMBER_REMOVAL_INTERVAL_MS);
    }

    stop(): void {
        clearInterval(this.#timer);
    }

    #removeUnreachable(): void {
        const { isIsolated, remove, sessions } = this.#options;
        const now = this.#options.now();
        if (isIsolated()) {
            return;
        }
        for (const session of [...sessions.listOwnerSessions()]) {
            const lostSince = session.readUnreachableSince(now);
            if (lostSince !== undefined && now - lostSince > MEMBER_REMOVAL_DELAY_MS) {
                remove(session.member);
            }
        }
    }
}
