import { expect, test } from "vitest";
import { formatDocument, formatFinding, parseDocument, validateDocument } from "../../index.js";
import { parseExample, readExample, replaceText } from "./documentFixtures.js";

function listMessages(text: string): readonly string[] {
    return parseDocument(text, { file: "mesh.yaml" }).swap().orDefault([]).map(formatFinding);
}

// Guards against findings that are reported one at a time, at a wrong position or without the accepted values.
test("all schema violations are reported together with their positions", async () => {
    const text = replaceText(readExample("lakeshore"), {
        "24h": "24q",
        "answer: 4KB": "answer: 4GB",
        "class: money": "clas: money",
        "slots: 12": "slots: many\n    sltos: 3",
        "timeout: 2s": "timeout: 250",
        "weighing: bytes": "weighing: fast",
    });
    await expect(`${listMessages(text).join("\n")}\n`).toMatchFileSnapshot("golden/schema-findings.txt");
});

// Guards against a version whose routes refer to something that the document does not define.
test("all violations of the rules between sections are reported together with their positions", async () => {
    const text = replaceText(readExample("lakeshore"), {
        "[stitch-legend]": "[sticth-legend, thread-table]",
        "class: money": "class: monye",
        "erie-b: 1": "erie-c: 1",
        "erie-b]": "erie-b, superior-a]",
        "path: /deposits": "path: /bookings/",
        "service: ledger": "service: leger",
        "slots: 12": "slots: 200",
        "storeRegion: erie": "storeRegion: eire",
    });
    const twice = `${text}\n  stitch-legend: { text: twice }\n`;
    await expect(`${listMessages(twice).join("\n")}\n`).toMatchFileSnapshot("golden/reference-findings.txt");
});

test.each([
    ["an empty text", "", "The document is empty."],
    ["comments only", "# nothing\n", "The document is empty."],
    ["a scalar", "hello", "\"hello\" is not accepted here."],
    ["truncated JSON", "{\"mesh\": {\"name\": ", "Syntax error"],
    ["YAML truncated within a key", readExample("marshals").split("ectionCost")[0] ?? "", "Syntax error"],
    [
        "YAML truncated between sections",
        readExample("marshals").split("classes:")[0] ?? "",
        "Key \"routes\" is missing.",
    ],
    ["too deep nesting", "- ".repeat(40), "nested too deep"],
    ["nesting beyond the parser's own limit", "[".repeat(5_000), "nested too deep"],
    ["two documents", "mesh: 1\n---\nmesh: 2\n", "several documents"],
    ["an alias that would multiply its content", "a: &a [1]\nb: [*a, *a]\n", "Aliases are not supported."],
    ["a mapping as a key", "? { a: 1 }\n: 2\n", "A key is a list or a mapping."],
    ["an inherited name", "__proto__: {}\n", "Unknown key \"__proto__\"."],
])("%s is rejected with a finding", (_case, text, message) => {
    expect(listMessages(text).join("\n")).toContain(message);
});

// Guards against documents that exceed a daemon's memory or the size of a value in the store.
test("a resource or document above the size limit is rejected", () => {
    const long = "x".repeat(256_001);
    const source = { ...parseExample("lakeshore"), resources: { "stitch-legend": { text: long } } };
    const messages = validateDocument(source).swap().orDefault([]).map(formatFinding);
    expect(messages.join("\n")).toContain("resources.stitch-legend: The entry has 256");
    expect(listMessages("x".repeat(8_000_001))).toEqual([
        "mesh.yaml:1:1: The document has 8000001 bytes. Expected at most 8000000 bytes.",
    ]);
});

test("a value without source text is validated by the same rules, without positions", () => {
    const source = parseExample("marshals");
    expect(validateDocument(source).isRight()).toBe(true);
    const changed = { ...source, classes: {} };
    const findings = validateDocument(changed).swap().orDefault([]);
    expect(findings.map(finding => finding.path)).toContain("routes.confirm-handover.class");
    expect(findings.every(finding => finding.line === undefined)).toBe(true);
});

// Guards against an export that can't be applied again.
test.each(["lakeshore", "marshals"] as const)("the document %s is unchanged after formatting and parsing", name => {
    const source = parseExample(name);
    expect(parseDocument(formatDocument(source)).unsafeCoerce()).toEqual(source);
    expect(parseDocument(JSON.stringify(source, undefined, "\t")).unsafeCoerce()).toEqual(source);
});
