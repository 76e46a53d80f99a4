import type { OwnerLoad } from "../../coordination/placement/index.js";
import type { ServerIdentity } from "../../coordination/registration/index.js";
import type { SessionMessageOf } from "../../protocol/session/index.js";
import type { Member } from "../../state/members/index.js";
import type { PartLogger } from "../logging/index.js";
import type { OwnedRequest, RequestEvents, RequestHandle } from "../ownership/index.js";

/** What a daemon tells of itself in each sign of life. */
export interface LocalStatus {
    readonly revision: number;
    readonly isWatching: boolean;
}

/** What another daemon told of itself. */
export interface PeerStatus extends LocalStatus {
    readonly id: string;
}

/** What sessions need of the daemon. */
export interface SessionDependencies {
    readonly log: PartLogger;
    /** Milliseconds; must not jump. */
    readonly now: () => number;
    readonly random: () => number;
    readSelf(): Member;
    listMembers(): readonly Member[];
    readStatus(): LocalStatus;
    readLoad(): OwnerLoad;
    /** The own server that others should remember. */
    readServerIdentity(): ServerIdentity | undefined;
    /** What another daemon remembers of the own server. */
    onServerIdentity(server: ServerIdentity): void;
    /** Records learnt from another daemon. */
    onMembers(members: readonly Member[]): void;
    onStatus(status: PeerStatus): void;
    /** The other daemon's text of a version. */
    onConfiguration(message: SessionMessageOf<"configuration">): void;
    /** Version in force as text, for another daemon; undefined when there is none. */
    readConfiguration(): Omit<SessionMessageOf<"configuration">, "kind"> | undefined;
    /** Gives a request of another daemon to the own gate. */
    submit(request: OwnedRequest, events: RequestEvents): RequestHandle;
}
