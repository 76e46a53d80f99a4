/** Schema of a service and of how its backend servers are reached. */
import { Type } from "@sinclair/typebox";
import { WhenAbsent } from "./MeshDocument.js";
import { QuantityKind } from "./Quantity.js";
import { buildChoice, buildMapping, buildObject, buildOptionalGroup, buildQuantity } from "./SchemaBuilders.js";

const ProbeSchema = buildObject({
    path: Type.Optional(Type.String({
        description: "Path of the health endpoint of a backend server.",
        default: "/health",
        pattern: "^/[!-~]{0,255}$",
        examples: ["/health"],
    })),
    interval: buildQuantity(QuantityKind.Duration, {
        description: "A server is probed when no request has shown its state for this long.",
        default: "5s",
        lowest: "1s",
        highest: "10m",
        examples: ["5s"],
    }),
    timeout: buildQuantity(QuantityKind.Duration, {
        description: "A probe without an answer after this time has failed.",
        default: "1s",
        lowest: "10ms",
        highest: "1m",
        examples: ["1s"],
    }),
    cost: buildQuantity(QuantityKind.Duration, {
        description: "Working time that one probe costs the server.",
        default: "1ms",
        lowest: "0ms",
        highest: "1s",
        examples: ["6ms"],
    }),
});

const QueueSchema = buildObject({
    length: Type.Optional(Type.Integer({
        description: "Requests that wait for a slot of one server; more are refused as not run.",
        default: 64,
        minimum: 0,
        maximum: 10_000,
        examples: [64],
    })),
    deadline: buildQuantity(QuantityKind.Duration, {
        description: "Longest wait for a slot; then the request is refused as not run.",
        default: "1s",
        lowest: "1ms",
        highest: "1m",
        examples: ["1s"],
    }),
});

const RetrySchema = buildObject({
    attempts: Type.Optional(Type.Integer({
        description: "Attempts in all, the first included.",
        default: 3,
        minimum: 1,
        maximum: 10,
        examples: [3],
    })),
    budget: buildQuantity(QuantityKind.Share, {
        description: "Share of the requests to the service that may be retries.",
        default: "20%",
        lowest: "0%",
        highest: "100%",
        examples: ["20%"],
    }),
    minimum: buildQuantity(QuantityKind.Frequency, {
        description: "Retries allowed whatever the share.",
        default: "3/s",
        lowest: "0/s",
        highest: "1000/s",
        examples: ["3/s"],
    }),
    baseDelay: buildQuantity(QuantityKind.Duration, {
        description: "Upper bound of the random delay before the first retry; it doubles with each attempt.",
        default: "25ms",
        lowest: "1ms",
        highest: "10s",
        examples: ["25ms"],
    }),
    maximumDelay: buildQuantity(QuantityKind.Duration, {
        description: "Largest upper bound of the random delay.",
        default: "1s",
        lowest: "1ms",
        highest: "1m",
        examples: ["1s"],
    }),
});

export const ServiceSchema = buildObject({
    servers: buildMapping(Type.Integer({ minimum: 0, maximum: 10_000 }), {
        description: "Planned number of backend servers for each failure domain.",
        minProperties: 1,
        examples: [{ "erie-a": 2, "superior-a": 1 }],
    }),
    slots: Type.Integer({
        description: "Requests that one server works on at a time.",
        minimum: 1,
        maximum: 100_000,
        examples: [12],
    }),
    connections: Type.Integer({
        description: "Connections that one server accepts; at least as many as slots.",
        minimum: 1,
        maximum: 100_000,
        examples: [120],
    }),
    connectTimeout: buildQuantity(QuantityKind.Duration, {
        description: "A connection that is not established after this time has failed.",
        default: "250ms",
        lowest: "1ms",
        highest: "1m",
        examples: ["250ms"],
    }),
    connectionCost: buildQuantity(QuantityKind.Duration, {
        description: "Working time that one new connection costs the server.",
        default: "1ms",
        lowest: "0ms",
        highest: "1s",
        examples: ["1ms"],
    }),
    probe: buildOptionalGroup(ProbeSchema, { default: {}, description: "Probes of the health endpoint." }),
    queue: buildOptionalGroup(QueueSchema, { default: {}, description: "Queue of one server." }),
    retry: buildOptionalGroup(RetrySchema, { default: {}, description: "Retries of requests to the service." }),
    slowStart: buildQuantity(QuantityKind.Duration, {
        description: "Time in which a new server's share of requests rises to its full value.",
        default: "10s",
        lowest: "0s",
        highest: "10m",
        examples: ["10s"],
    }),
    whenAbsent: buildChoice(WhenAbsent, {
        description:
            "What happens while no server of the service has ever announced itself: the version waits, or its routes refuse requests.",
        default: WhenAbsent.Wait,
        examples: [WhenAbsent.Refuse],
    }),
}, { description: "A service and how its backend servers are reached." });
