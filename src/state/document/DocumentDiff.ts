/** Differences between two documents, by resource and by setting. */
import type { Resource } from "../versions/index.js";
import { splitDocument } from "./DocumentResources.js";
import type { SourceDocument } from "./DocumentSchema.js";
import type { PathSegment } from "./Finding.js";
import { formatPath } from "./Finding.js";

/** One setting that differs; `before` or `after` is undefined where the setting is absent. */
export interface SettingChange {
    /** Path within the resource; empty for the resource itself. */
    readonly path: string;
    readonly before: unknown;
    readonly after: unknown;
}

/** One resource that differs. */
export interface ResourceChange {
    /** Name such as `service/ledger`. */
    readonly name: string;
    readonly kind: "added" | "removed" | "changed";
    /** Settings that differ; empty for an added or removed resource. */
    readonly settings: readonly SettingChange[];
}

function isMapping(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

function* listSettingChanges(
    segments: readonly PathSegment[],
    before: unknown,
    after: unknown,
): Generator<SettingChange> {
    if (JSON.stringify(before) === JSON.stringify(after)) {
        return;
    }
    if (!isMapping(before) || !isMapping(after)) {
        yield { after, before, path: formatPath(segments) };
        return;
    }
    for (const key of [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()) {
        yield* listSettingChanges([...segments, key], before[key], after[key]);
    }
}

function compareResources(before: Resource | undefined, after: Resource | undefined): ResourceChange | undefined {
    if (before === undefined || after === undefined) {
        const name = (before ?? after)?.name;
        return name === undefined
            ? undefined
            : { kind: before === undefined ? "added" : "removed", name, settings: [] };
    }
    if (before.hash === after.hash) {
        return undefined;
    }
    const settings = listSettingChanges([], JSON.parse(before.content), JSON.parse(after.content));
    return { kind: "changed", name: after.name, settings: [...settings] };
}

/** Lists the resources that differ between two documents, by name; `before` may be missing. */
export function diffDocuments(before: SourceDocument | undefined, after: SourceDocument): readonly ResourceChange[] {
    const resourcesBefore = new Map(
        (before === undefined ? [] : splitDocument(before)).map(resource => [resource.name, resource]),
    );
    const resourcesAfter = new Map(splitDocument(after).map(resource => [resource.name, resource]));
    const names = [...new Set([...resourcesBefore.keys(), ...resourcesAfter.keys()])].sort();
    return names.flatMap(name => compareResources(resourcesBefore.get(name), resourcesAfter.get(name)) ?? []);
}
