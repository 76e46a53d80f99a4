import type { GossipMessage } from "../../protocol/session/index.js";
import type { LocalStatus } from "./SessionTypes.js";
import type { SessionDependencies } from "./SessionTypes.js";

/** Passes a message of another daemon on that concerns neither a request nor the session. */
export function handleGossip(
    id: string,
    message: GossipMessage,
    { onGossip, onStatus }: Pick<SessionDependencies, "onGossip" | "onStatus">,
    measureTransit: (sentAt: number) => number,
): void {
    if (message.kind === "status") {
        onStatus({ ...addTransit(message, measureTransit(message.sentAt)), id });
    }
    else {
        onGossip(id, message);
    }
}

/** Adds the longest transit of a message to the age of its confirmation, which is dropped if no such bound is known. */
export function addTransit<T extends Pick<LocalStatus, "confirmation">>(status: T, transitMs: number): T {
    const { confirmation } = status;
    return {
        ...status,
        confirmation: confirmation === undefined || transitMs === Infinity
            ? undefined
            : { ...confirmation, ageMs: confirmation.ageMs + transitMs },
    };
}
