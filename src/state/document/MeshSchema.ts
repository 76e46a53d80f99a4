/** Schema of the mesh-wide settings. */
import { Type } from "@sinclair/typebox";
import { Weighing } from "./MeshDocument.js";
import { QuantityKind } from "./Quantity.js";
import {
    buildChoice,
    buildMapping,
    buildName,
    buildObject,
    buildOptionalGroup,
    buildQuantity,
} from "./SchemaBuilders.js";

const LatencySchema = buildObject({
    betweenFailureDomains: buildQuantity(QuantityKind.Duration, {
        description: "One-way latency between failure domains of one region.",
        default: "1ms",
        lowest: "0ms",
        highest: "1s",
        examples: ["1ms"],
    }),
    betweenRegions: buildQuantity(QuantityKind.Duration, {
        description: "One-way latency between regions.",
        default: "12ms",
        lowest: "0ms",
        highest: "1s",
        examples: ["12ms"],
    }),
    toClients: buildQuantity(QuantityKind.Duration, {
        description: "One-way latency between the mesh and its clients.",
        default: "8ms",
        lowest: "0ms",
        highest: "10s",
        examples: ["8ms"],
    }),
});

const ClaimsSchema = buildObject({
    shards: Type.Optional(Type.Integer({
        description: "Number of store objects that share the claims of idempotency keys.",
        default: 32,
        minimum: 1,
        maximum: 256,
        examples: [32],
    })),
    retention: buildQuantity(QuantityKind.Duration, {
        description: "Time for which an idempotency key is remembered.",
        default: "24h",
        lowest: "1m",
        highest: "30d",
        examples: ["24h"],
    }),
    answer: buildQuantity(QuantityKind.Size, {
        description: "Largest answer that is kept for repetitions of a key.",
        default: "4KB",
        lowest: "0B",
        highest: "16KB",
        examples: ["4KB"],
    }),
});

const RegionSchema = buildObject({
    failureDomains: Type.Array(buildName("Name of a failure domain.", "erie-a"), {
        description: "Failure domains of the region. A failure domain belongs to exactly one region.",
        minItems: 1,
        uniqueItems: true,
        examples: [["erie-a", "erie-b"]],
    }),
}, { description: "A region and its failure domains." });

export const MeshSchema = buildObject({
    name: buildName("Name of the mesh.", "lakeshore"),
    weighing: buildChoice(Weighing, {
        description: "Which measure operators weigh more: convergence time or control bytes.",
        default: Weighing.Balanced,
        examples: [Weighing.Bytes],
    }),
    storeRegion: buildName("Region in which the store runs.", "erie"),
    regions: buildMapping(RegionSchema, { description: "Regions by name.", minProperties: 1 }),
    latency: buildOptionalGroup(LatencySchema, { default: {}, description: "Expected one-way latencies." }),
    link: buildQuantity(QuantityKind.BitRate, {
        description: "Capacity of the link between regions, each way.",
        default: "30Mbit/s",
        lowest: "1kbit/s",
        highest: "1000Gbit/s",
        examples: ["30Mbit/s"],
    }),
    claims: buildOptionalGroup(ClaimsSchema, {
        default: {},
        description: "How idempotency keys of non-repeatable requests are kept.",
    }),
}, { description: "Settings of the whole mesh." });
