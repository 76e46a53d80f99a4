/** Schemas of routes, and of the classes and named resources that routes refer to. */
import { Type } from "@sinclair/typebox";
import { QuantityKind } from "./Quantity.js";
import { buildName, buildObject, buildQuantity } from "./SchemaBuilders.js";

const MatchSchema = buildObject({
    methods: Type.Optional(Type.Array(
        Type.String({
            description: "HTTP method in capitals.",
            pattern: "^[A-Z]{1,16}$",
            examples: ["GET"],
        }),
        {
            description:
                "HTTP methods; left out for every method. At the same path, a route with methods wins over one without.",
            default: [],
            uniqueItems: true,
            examples: [["GET", "HEAD"]],
        },
    )),
    path: Type.String({
        description: "Prefix of the request path, matched at segment boundaries; the longest prefix wins.",
        pattern: "^/[!-~]{0,1023}$",
        examples: ["/repairs/status"],
    }),
    host: Type.Optional(Type.String({
        description:
            "Host name without port; left out for every host. At the same path, a route with a host wins over one without.",
        pattern: "^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$",
        examples: ["api.lakeshore.example"],
    })),
}, { description: "Requests that the route takes." });

export const RouteSchema = buildObject({
    match: MatchSchema,
    service: buildName("Service that answers the requests.", "ledger"),
    class: buildName("Class of the requests.", "deposits"),
    timeout: buildQuantity(QuantityKind.Duration, {
        description: "Time for the whole request, retries included.",
        default: "5s",
        lowest: "1ms",
        highest: "1h",
        examples: ["2s"],
    }),
    repeatable: Type.Boolean({
        description: "Whether a request may run more than once. When false, a request needs an Idempotency-Key header "
            + "and runs at most once.",
        examples: [false],
    }),
    maximumRequest: buildQuantity(QuantityKind.Size, {
        description: "Largest request body.",
        default: "1MB",
        lowest: "0B",
        highest: "1000MB",
        examples: ["8KB"],
    }),
    resources: Type.Optional(Type.Array(buildName("Name of a resource.", "stitch-legend"), {
        description: "Named resources that the route needs.",
        default: [],
        uniqueItems: true,
        examples: [["stitch-legend"]],
    })),
}, { description: "A route from requests to a service." });

export const ClassSchema = buildObject({
    weight: Type.Optional(Type.Integer({
        description: "Weight by which classes share the slots of a busy server.",
        default: 1,
        minimum: 1,
        maximum: 1_000,
        examples: [4],
    })),
    maximumShare: buildQuantity(QuantityKind.Share, {
        description: "Highest share of a server's slots.",
        default: "100%",
        lowest: "1%",
        highest: "100%",
        examples: ["50%"],
    }),
}, { description: "A tenant or a kind of requests that shares slots with the others by weight." });

export const NamedResourceSchema = buildObject({
    contentType: Type.Optional(Type.String({
        description: "Media type of the text.",
        default: "text/plain",
        pattern: "^[a-z]+/[A-Za-z0-9.+-]{1,100}(; ?charset=[A-Za-z0-9-]+)?$",
        examples: ["application/json"],
    })),
    text: Type.String({ description: "Content of the resource.", examples: ["lockstitch: 6 mm"] }),
}, { description: "Content that routes refer to by name." });
