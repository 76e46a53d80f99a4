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
        onGossip(id, message, message.kind === "quotaDemand" ? measureTransit(message.sentAt) : Infinity);
    }
}

/**
 * Adds the longest transit of a message to the ages that it tells, of its confirmation and of the watches. Daemons that
 * pass these on to each other would make them younger otherwise. If no such bound is known, only failed watches are
 * kept: what they lead to are redundant watches.
 */
export function addTransit<T extends Pick<LocalStatus, "confirmation" | "watches">>(status: T, transitMs: number): T {
    const { confirmation, watches } = status;
    if (transitMs === Infinity) {
        return { ...status, confirmation: undefined, watches: watches.filter(({ isWorking }) => !isWorking) };
    }
    return {
        ...status,
        confirmation: confirmation && { ...confirmation, ageMs: confirmation.ageMs + transitMs },
        watches: watches.map(report => ({ ...report, ageMs: report.ageMs + transitMs })),
    };
}
