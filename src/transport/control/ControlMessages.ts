/** Bodies of the backend server's calls to its daemon, and queries of the operators' calls. */
import type { Static } from "@sinclair/typebox";
import { Type } from "@sinclair/typebox";

const MAXIMUM_SLOTS = 10_000;
const MAXIMUM_CONNECTIONS = 100_000;
const MAXIMUM_NAME_LENGTH = 63;

/** `POST /v1/announce`: the server is running and serves `service`. */
export const AnnounceBody = Type.Object({
    address: Type.Union([Type.String({ format: "ipv4" }), Type.String({ format: "ipv6" })]),
    connections: Type.Integer({ maximum: MAXIMUM_CONNECTIONS, minimum: 1 }),
    port: Type.Integer({ maximum: 65_535, minimum: 1 }),
    service: Type.String({ maxLength: MAXIMUM_NAME_LENGTH, pattern: "^[a-z0-9][a-z0-9-]*$" }),
    slots: Type.Integer({ maximum: MAXIMUM_SLOTS, minimum: 1 }),
    state: Type.Union([Type.Literal("starting"), Type.Literal("live")]),
}, { additionalProperties: false });
export type AnnounceBody = Static<typeof AnnounceBody>;

/** `POST /v1/renew`: the server is still running. `load` is a hint that may be outdated or wrong. */
export const RenewBody = Type.Object({
    load: Type.Optional(Type.Object({
        healthy: Type.Boolean(),
        inFlight: Type.Integer({ minimum: 0 }),
        slots: Type.Integer({ minimum: 0 }),
    }, { additionalProperties: false })),
}, { additionalProperties: false });
export type RenewBody = Static<typeof RenewBody>;

/** `POST /v1/leaving`: the server accepts no new requests; with `finished` its last request has ended. */
export const LeavingBody = Type.Object({
    finished: Type.Boolean(),
}, { additionalProperties: false });
export type LeavingBody = Static<typeof LeavingBody>;

/** Query of `GET /v1/status`: the whole mesh as known to its relays, or only this daemon's own state. */
export const StatusQuery = Type.Object({
    scope: Type.Union([Type.Literal("mesh"), Type.Literal("daemon")], { default: "mesh" }),
}, { additionalProperties: false });
export type StatusQuery = Static<typeof StatusQuery>;

/** Query of `GET /v1/explain`: the request whose route and server are explained. */
export const ExplainQuery = Type.Object({
    host: Type.Optional(Type.String()),
    key: Type.Optional(Type.String()),
    method: Type.String({ default: "GET" }),
    path: Type.String({ default: "/" }),
}, { additionalProperties: false });
export type ExplainQuery = Static<typeof ExplainQuery>;
