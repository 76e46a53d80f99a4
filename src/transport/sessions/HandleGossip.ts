import type { GossipMessage } from "../../protocol/session/index.js";
import type { SessionDependencies } from "./SessionTypes.js";

/** Passes a message of another daemon on that concerns neither a request nor the session. */
export function handleGossip(
    id: string,
    message: GossipMessage,
    { onGossip, onStatus }: Pick<SessionDependencies, "onGossip" | "onStatus">,
): void {
    if (message.kind === "status") {
        onStatus({ ...message, id });
    }
    else {
        onGossip(id, message);
    }
}
