/** Changes that the demo makes to the example document; edits preserve its comments and key order. */
import { parseDocument } from "yaml";

export interface DemoChange {
    readonly description: string;
    /** Returns the changed text. */
    readonly apply: (text: string) => string;
}

function buildChange(section: string, setting: readonly string[], value: unknown): (text: string) => string {
    return text => {
        const document = parseDocument(text);
        const [name] = Object.keys((document.toJS() as Record<string, Record<string, unknown>>)[section] ?? {});
        document.setIn([section, name, ...setting], value);
        return document.toString();
    };
}

export const DEMO_CHANGES: readonly DemoChange[] = [
    { apply: buildChange("routes", ["timeout"], "4s"), description: "timeout of a route" },
    { apply: buildChange("services", ["queue", "length"], 96), description: "queue length of a service" },
];
