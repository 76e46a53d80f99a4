import type { Dispatcher } from "undici";
import type { CommitResult, ForwardedOperation, SendClaim } from "../../coordination/claims/index.js";
import type { Member } from "../../state/members/index.js";

import { Left } from "purify-ts/Either";
import { Agent } from "undici";
import { decodeCommitResult, encodeForwardedOperation } from "../../coordination/claims/index.js";
import { CLAIM_FORWARDING_PATH, deriveRelayToken, MeshHeader, Outcome } from "../../protocol/request/index.js";

const OK_STATUS = 200;
const CONNECT_TIMEOUT_MS = 300;

/** Maximum connections to one holder; each carries one operation at a time. */
const CONNECTIONS = 16;

/** Errors that prove that the holder did not receive the operation. */
const CONNECT_ERRORS: ReadonlySet<string> = new Set([
    "EADDRNOTAVAIL",
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Sends claim operations to the relay ports of holders. */
export interface ClaimSender {
    readonly send: SendClaim;
    stop(): Promise<void>;
}

export function createClaimSender(meshKey: string): ClaimSender {
    const token = deriveRelayToken(meshKey);
    const agent = new Agent({ connections: CONNECTIONS, connect: { timeout: CONNECT_TIMEOUT_MS } });

    async function send(holder: Member, request: ForwardedOperation, signal: AbortSignal): Promise<CommitResult> {
        try {
            const response = await agent.request({
                origin: formatOrigin(holder),
                method: "POST",
                path: CLAIM_FORWARDING_PATH,
                headers: { "content-type": "application/json", [MeshHeader.Token]: token },
                body: encodeForwardedOperation(request),
                signal,
            });
            return await readResult(holder, response);
        }
        catch (error) {
            const isUnsent = CONNECT_ERRORS.has((error as NodeJS.ErrnoException).code ?? "");
            return Left({ possiblyCommitted: !isUnsent, detail: `${holder.id} gave no answer: ${String(error)}` });
        }
    }

    return { send, stop: () => agent.destroy() };
}

async function readResult(holder: Member, response: Dispatcher.ResponseData): Promise<CommitResult> {
    const text = await response.body.text();
    if (response.statusCode !== OK_STATUS) {
        const wasRefused = response.headers[MeshHeader.Outcome] === Outcome.NotRun;
        return Left({
            possiblyCommitted: !wasRefused,
            detail: `${holder.id} answered ${response.statusCode}: ${text.trim()}`,
        });
    }
    return decodeCommitResult(text).caseOf<CommitResult>({
        Left: detail => Left({ possiblyCommitted: true, detail: `${holder.id}: ${detail}` }),
        Right: result => result,
    });
}

function formatOrigin({ address, relayPort }: Member): string {
    return `http://${address.includes(":") ? `[${address}]` : address}:${relayPort}`;
}
