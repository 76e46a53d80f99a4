/** Path of the relay port that takes operations on claims, which owners forward to the holder of a shard. */
export const CLAIM_FORWARDING_PATH = "/.papayaturn/claims";

/** Largest forwarded operation or result accepted: a kept answer in base64 and its headers fit. */
export const CLAIM_MESSAGE_MAXIMUM_BYTES = 32_768;
