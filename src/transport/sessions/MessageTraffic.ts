/** Counts messages between daemons as traffic of the link. */
import { LARGE_ANSWER_BYTES } from "../../coordination/scheduling/index.js";
import type { SessionMessageKind } from "../../protocol/session/index.js";
import { LinkDirection, LinkTrafficKind } from "../uplink/index.js";
import type { UplinkSender } from "../uplink/index.js";

const KINDS: Partial<Record<SessionMessageKind, LinkTrafficKind>> = {
    answer: LinkTrafficKind.Answers,
    answerData: LinkTrafficKind.Answers,
    answerHead: LinkTrafficKind.Answers,
    configuration: LinkTrafficKind.Versions,
    configurationDifference: LinkTrafficKind.Versions,
    configurationRequest: LinkTrafficKind.Versions,
    quotaDemand: LinkTrafficKind.Quotas,
    quotaGrant: LinkTrafficKind.Quotas,
    request: LinkTrafficKind.Requests,
    requestData: LinkTrafficKind.Requests,
};

export function recordSent(uplink: UplinkSender, kind: SessionMessageKind, bytes: number): void {
    uplink.traffic.record(LinkDirection.Out, findTrafficKind(kind), bytes);
    if (!isPaced(kind, bytes)) {
        uplink.recordSent(bytes);
    }
}

/** Whether the message is a part of a large answer or body, which waits for the link before it is sent. */
function isPaced(kind: SessionMessageKind, bytes: number): boolean {
    return kind === "answerData" || kind === "requestData" || kind === "answer" && bytes >= LARGE_ANSWER_BYTES;
}

export function recordReceived(
    { traffic }: Pick<UplinkSender, "traffic">,
    kind: SessionMessageKind,
    bytes: number,
): void {
    traffic.record(LinkDirection.In, findTrafficKind(kind), bytes);
}

function findTrafficKind(kind: SessionMessageKind): LinkTrafficKind {
    return KINDS[kind] ?? LinkTrafficKind.Sessions;
}
