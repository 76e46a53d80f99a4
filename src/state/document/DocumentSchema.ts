/** Schema of the source document: one schema for YAML and JSON, with units, defaults and ranges. */
import type { Static } from "@sinclair/typebox";
import { Type } from "@sinclair/typebox";
import { MeshSchema } from "./MeshSchema.js";
import { ClassSchema, NamedResourceSchema, RouteSchema } from "./RouteSchema.js";
import { buildMapping, buildObject } from "./SchemaBuilders.js";
import { ServiceSchema } from "./ServiceSchema.js";

export const DocumentSchema = buildObject({
    mesh: MeshSchema,
    services: buildMapping(ServiceSchema, { description: "Services by name." }),
    classes: buildMapping(ClassSchema, { description: "Classes by name." }),
    routes: buildMapping(RouteSchema, { description: "Routes by name." }),
    resources: Type.Optional(buildMapping(NamedResourceSchema, { default: {}, description: "Resources by name." })),
}, { title: "Document of a mesh" });

export type SourceMesh = Static<typeof MeshSchema>;
export type SourceService = Static<typeof ServiceSchema>;
export type SourceClass = Static<typeof ClassSchema>;
export type SourceRoute = Static<typeof RouteSchema>;
export type SourceNamedResource = Static<typeof NamedResourceSchema>;

/** A document as operators write it: quantities are text with units and defaults are left out. */
export type SourceDocument = Static<typeof DocumentSchema>;
