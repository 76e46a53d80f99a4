/** Error for a frame that is malformed, too large or not a known message. */
export class MessageError extends Error {
    override readonly name = "MessageError";
}

/** Encodes a typed value to its compact wire format, and decodes it with validation of every field. */
export interface FieldCodec<T> {
    encode(value: T): unknown;
    /** Throws `MessageError`; `path` names the field in the error. */
    decode(raw: unknown, path: string): T;
}

/** The value type of a codec. */
export type DecodedType<S> = S extends FieldCodec<infer T> ? T : never;

const VISIBLE_PATTERN = /^[\x21-\x7e]+$/;

type Fields = Readonly<Record<string, FieldCodec<never>>>;
export type RecordOf<F> = { readonly [K in keyof F]: F[K] extends FieldCodec<infer T> ? T : never; };

/** Creates the codec of a text of at most `limit` UTF-16 code units. */
export function createTextCodec(limit: number): FieldCodec<string> {
    return {
        decode(raw, path) {
            if (typeof raw !== "string" || raw.length > limit) {
                throw new MessageError(`${path} is not a text of at most ${limit} characters`);
            }
            return raw;
        },
        encode: value => value,
    };
}

/** Creates the codec of a text of 1 to `limit` visible ASCII characters, such as an address or an id. */
export function createTokenCodec(limit: number): FieldCodec<string> {
    return {
        decode(raw, path) {
            if (typeof raw !== "string" || raw.length > limit || !VISIBLE_PATTERN.test(raw)) {
                throw new MessageError(`${path} is not a text of 1 to ${limit} visible characters`);
            }
            return raw;
        },
        encode: value => value,
    };
}

/** Creates the codec of an integer from `minimum` to `limit`. */
export function createIntegerCodec(limit: number = Number.MAX_SAFE_INTEGER, minimum = 0): FieldCodec<number> {
    return {
        decode(raw, path) {
            if (typeof raw !== "number" || !Number.isSafeInteger(raw) || raw < minimum || raw > limit) {
                throw new MessageError(`${path} is not an integer from ${minimum} to ${limit}`);
            }
            return raw;
        },
        encode: value => value,
    };
}

export const booleanCodec: FieldCodec<boolean> = {
    decode(raw, path) {
        if (typeof raw !== "boolean") {
            throw new MessageError(`${path} is not a boolean`);
        }
        return raw;
    },
    encode: value => value,
};

/** A finite number; times may be negative or fractional. */
export const numberCodec: FieldCodec<number> = {
    decode(raw, path) {
        if (typeof raw !== "number" || !Number.isFinite(raw)) {
            throw new MessageError(`${path} is not a number`);
        }
        return raw;
    },
    encode: value => value,
};

/** Creates the codec of one of a closed list of texts, which is sent as its index. */
export function createChoiceCodec<T extends string>(choices: readonly T[]): FieldCodec<T> {
    return {
        decode(raw, path) {
            const choice = typeof raw === "number" ? choices[raw] : undefined;
            if (choice === undefined) {
                throw new MessageError(`${path} is not a known choice`);
            }
            return choice;
        },
        encode: value => choices.indexOf(value),
    };
}

/** Creates the codec of a list of at most `limit` elements. */
export function createListCodec<T>(element: FieldCodec<T>, limit: number): FieldCodec<readonly T[]> {
    return {
        decode(raw, path) {
            if (!Array.isArray(raw) || raw.length > limit) {
                throw new MessageError(`${path} is not a list of at most ${limit} elements`);
            }
            return raw.map((item: unknown, index) => element.decode(item, `${path}[${index}]`));
        },
        encode: value => value.map(item => element.encode(item)),
    };
}

/** Creates the codec of an optional value; undefined is sent as null. */
export function createOptionalCodec<T>(inner: FieldCodec<T>): FieldCodec<T | undefined> {
    return {
        decode: (raw, path) => raw === null || raw === undefined ? undefined : inner.decode(raw, path),
        encode: value => value === undefined ? null : inner.encode(value),
    };
}

/**
 * Creates the codec of an object, which is sent as the list of its field values in the given order. Optional fields that
 * were added later follow, up to the last one with a value, so that daemons without them read the same as before; fields
 * beyond the known ones are those of later daemons and are ignored.
 */
export function createRecordCodec<F, A = Record<never, never>>(
    fields: F & { readonly [K in keyof F]: FieldCodec<unknown> | FieldCodec<never>; },
    addedFields?: A & { readonly [K in keyof A]: FieldCodec<unknown> | FieldCodec<never>; },
): FieldCodec<RecordOf<F> & Partial<RecordOf<A>>> {
    const required = Object.entries(fields as unknown as Fields);
    const added = Object.entries((addedFields ?? {}) as unknown as Fields);
    const entries = [...required, ...added];
    return {
        decode(raw, path) {
            if (!Array.isArray(raw) || raw.length < required.length) {
                throw new MessageError(`${path} does not have ${required.length} fields`);
            }
            const decoded: Record<string, unknown> = {};
            entries.forEach(([name, codec], index) => {
                const value: unknown = codec.decode(raw[index], `${path}.${name}`);
                if (value !== undefined) {
                    decoded[name] = value;
                }
            });
            return decoded as RecordOf<F> & Partial<RecordOf<A>>;
        },
        encode(value) {
            const encoded = entries.map(([name, codec]) =>
                codec.encode((value as Record<string, never>)[name] as never)
            );
            const lastAdded = encoded.findLastIndex(field => field !== null);
            return encoded.slice(0, Math.max(required.length, lastAdded + 1));
        },
    };
}
