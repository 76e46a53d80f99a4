/** Path on the relay port for operations on claims, which owners forward to the holder of a shard. */
export const CLAIM_FORWARDING_PATH = "/.papayaturn/claims";

/** Maximum size of a forwarded operation or result; fits a stored answer in base64 with its headers. */
export const CLAIM_MESSAGE_MAXIMUM_BYTES = 32_768;
