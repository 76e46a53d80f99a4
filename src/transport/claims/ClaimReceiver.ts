import type { ShardCommitter, Wait } from "../../coordination/claims/index.js";

import {
    createForwardedOperationHandler,
    decodeForwardedOperation,
    encodeCommitResult,
} from "../../coordination/claims/index.js";

/** Commits the encoded operation and returns the encoded result; undefined when it is malformed. */
export type HandleClaimMessage = (text: string) => Promise<string> | undefined;

/** Creates the holder's side of the forwarding of claims; `committer` writes to the store. */
export function createClaimReceiver(committer: ShardCommitter, wait: Wait): HandleClaimMessage {
    const handle = createForwardedOperationHandler(committer, wait);
    return text =>
        decodeForwardedOperation(text).caseOf<Promise<string> | undefined>({
            Left: () => undefined,
            Right: async request => encodeCommitResult(await handle(request)),
        });
}
