import type { Static } from "@sinclair/typebox";
import type { Claim, ShardOperation } from "../../state/claims/index.js";
import type { CommitFailure, CommitResult } from "./ShardCommitter.js";

import { Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import { Either, Left, Right } from "purify-ts/Either";
import { ClaimSchema, ShardOperationSchema } from "../../state/claims/index.js";

/** An operation that an owner asks the holder of its shard to commit. */
export interface ForwardedOperation {
    readonly shard: number;
    readonly operation: ShardOperation;
    readonly isFresh: boolean;
    /** Time in milliseconds for which the owner waits; the holder cancels the operation after it. */
    readonly remainingMs: number;
}

const ForwardedOperationSchema = Type.Object({
    shard: Type.Integer({ minimum: 0 }),
    operation: ShardOperationSchema,
    isFresh: Type.Boolean(),
    remainingMs: Type.Number({ minimum: 0 }),
});

const CommitResultSchema = Type.Union([
    Type.Object({ entry: ClaimSchema }),
    Type.Object({ failure: Type.Object({ possiblyCommitted: Type.Boolean(), detail: Type.String() }) }),
]);

const checkForwardedOperation = TypeCompiler.Compile(ForwardedOperationSchema);
const checkCommitResult = TypeCompiler.Compile(CommitResultSchema);

export function encodeForwardedOperation(request: ForwardedOperation): string {
    return JSON.stringify(request);
}

export function decodeForwardedOperation(text: string): Either<string, ForwardedOperation> {
    return parseJson(text).chain(value =>
        checkForwardedOperation.Check(value)
            ? Right(value as ForwardedOperation)
            : Left("the request is not a forwarded operation")
    );
}

export function encodeCommitResult(result: CommitResult): string {
    const message: Static<typeof CommitResultSchema> = result.caseOf<Static<typeof CommitResultSchema>>({
        Left: failure => ({ failure }),
        Right: entry => ({ entry: entry as Static<typeof ClaimSchema> }),
    });
    return JSON.stringify(message);
}

export function decodeCommitResult(text: string): Either<string, CommitResult> {
    return parseJson(text).chain((value): Either<string, CommitResult> => {
        if (!checkCommitResult.Check(value)) {
            return Left("the answer is not the result of a forwarded operation");
        }
        return Right("entry" in value ? Right(value.entry as Claim) : Left(value.failure as CommitFailure));
    });
}

function parseJson(text: string): Either<string, unknown> {
    return Either.encase((): unknown => JSON.parse(text)).mapLeft(error => error.message);
}
