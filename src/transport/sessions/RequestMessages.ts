/** What the caller's side of a session does with the messages of one request. */
import type { SessionMessage } from "../../protocol/session/index.js";
import type { SessionRequestEvents } from "./OwnerSession.js";

/** Whether no message on the request follows. */
export function isLastMessage({ kind }: SessionMessage): boolean {
    return kind !== "offer" && kind !== "answerHead" && kind !== "answerData";
}

/** Calls the event of a request that a message of the owner tells. */
export function handleRequestMessage(message: SessionMessage, events: SessionRequestEvents): void {
    switch (message.kind) {
        case "offer":
            events.onOffer();
            return;
        case "answerHead":
            events.onHead(message);
            return;
        case "answerData":
            events.onData(message.body);
            return;
        case "refused":
            events.onRefused(message, message.load);
            return;
        case "declined":
            events.onDeclined(message.detail, message.load);
            return;
        case "unknown":
            events.onOutcomeUnknown(message.detail, message.load);
            return;
        case "answer":
            events.onAnswer(message, message.body, message.load);
            return;
        case "answerEnd":
            events.onEnd(message.load);
            return;
        case "answerCut":
            events.onAnswerAborted(message.detail, message.load);
    }
}

/** Subtracts the elapsed time from the time left of a request that is sent again; other messages stay as they are. */
export function updateTimeLeft(
    message: SessionMessage,
    pending: ReadonlyMap<number, { readonly submittedAt: number; }>,
    now: number,
): SessionMessage {
    if (message.kind !== "request") {
        return message;
    }
    const { request, stream } = message;
    const submittedAt = pending.get(stream)?.submittedAt;
    const elapsedMs = submittedAt === undefined ? request.budgetLeftMs : now - submittedAt;
    return {
        ...message,
        request: {
            ...request,
            budgetLeftMs: request.budgetLeftMs - elapsedMs,
            targetLeftMs: request.targetLeftMs - elapsedMs,
        },
    };
}
