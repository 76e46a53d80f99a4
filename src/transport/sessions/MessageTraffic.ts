/** Counts messages between daemons as traffic of the link. */
import type { SessionMessageKind } from "../../protocol/session/index.js";
import { LinkDirection, LinkTrafficKind } from "../uplink/index.js";
import type { UplinkSender } from "../uplink/index.js";

const KINDS: Partial<Record<SessionMessageKind, LinkTrafficKind>> = {
    answer: LinkTrafficKind.Answers,
    answerData: LinkTrafficKind.Answers,
    answerHead: LinkTrafficKind.Answers,
    configuration: LinkTrafficKind.Versions,
    configurationRequest: LinkTrafficKind.Versions,
    request: LinkTrafficKind.Requests,
};

export function recordSent({ traffic }: Pick<UplinkSender, "traffic">, kind: SessionMessageKind, bytes: number): void {
    traffic.record(LinkDirection.Out, findTrafficKind(kind), bytes);
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
