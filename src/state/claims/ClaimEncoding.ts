import type { Static } from "@sinclair/typebox";
import type { Either } from "purify-ts/Either";
import type { Claim, ClaimShard } from "./Claim.js";

import { Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import { Left, Right } from "purify-ts/Either";

import { ClaimState } from "./Claim.js";

const StoredAnswerSchema = Type.Object({
    status: Type.Integer(),
    headers: Type.Array(Type.Tuple([Type.String(), Type.String()])),
    body: Type.String(),
});

const AttemptFields = { keyHash: Type.String(), executor: Type.String(), attempt: Type.String() };

export const ClaimSchema = Type.Object({
    ...AttemptFields,
    state: Type.Enum(ClaimState),
    at: Type.Number(),
    answer: Type.Optional(StoredAnswerSchema),
});

export const ShardOperationSchema = Type.Union([
    Type.Object({ kind: Type.Literal("claim"), ...AttemptFields }),
    Type.Object({
        kind: Type.Literal("settle"),
        ...AttemptFields,
        state: Type.Union([Type.Literal("released"), Type.Literal("done"), Type.Literal("abandoned")]),
        answer: Type.Optional(StoredAnswerSchema),
    }),
]);

const SealedReferenceSchema = Type.Object({
    name: Type.String(),
    version: Type.Integer(),
    newestAt: Type.Number(),
});

const ClaimShardSchema = Type.Object({
    clock: Type.Number(),
    tail: Type.Array(ClaimSchema),
    cancelled: Type.Array(Type.Object({ attempt: Type.String(), at: Type.Number() })),
    sealed: Type.Array(SealedReferenceSchema),
    removed: Type.Array(SealedReferenceSchema),
});

const SealedClaimsSchema = Type.Array(ClaimSchema);
const LayoutSchema = Type.Object({ shards: Type.Integer({ minimum: 1 }) });

const checkShard = TypeCompiler.Compile(ClaimShardSchema);
const checkSealedClaims = TypeCompiler.Compile(SealedClaimsSchema);
const checkLayout = TypeCompiler.Compile(LayoutSchema);

/** Encodes a shard, the entries of a sealed object, or the layout as JSON text. */
export function encodeClaims(value: ClaimShard | readonly Claim[] | Static<typeof LayoutSchema>): string {
    return JSON.stringify(value);
}

export function decodeShard(text: string): Either<string, ClaimShard> {
    return decodeText(text, value => checkShard.Check(value) ? value as ClaimShard : undefined);
}

export function decodeSealedClaims(text: string): Either<string, readonly Claim[]> {
    return decodeText(text, value => checkSealedClaims.Check(value) ? value as readonly Claim[] : undefined);
}

/** Decodes the number of shards that the store's layout object fixes. */
export function decodeLayout(text: string): Either<string, number> {
    return decodeText(text, value => checkLayout.Check(value) ? value.shards : undefined);
}

function decodeText<T>(text: string, match: (value: unknown) => T | undefined): Either<string, T> {
    try {
        const decoded = match(JSON.parse(text));
        return decoded === undefined ? Left("the content does not have the expected shape") : Right(decoded);
    }
    catch (error) {
        return Left(`the content is not JSON: ${String(error)}`);
    }
}
