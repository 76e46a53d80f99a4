import fc from "fast-check";
import { expect, test } from "vitest";
import { formatDocument, parseDocument, resolveDocument, validateDocument } from "../../index.js";
import { parseExample, readExample } from "./documentFixtures.js";

const FUZZ = { numRuns: 250, seed: 20_261_204 };

/** Text with a special meaning in YAML or in documents. */
const fragment = fc.oneof(
    fc.constantFrom(
        ": ",
        "- ",
        "\n",
        "\n  ",
        "\t",
        "{",
        "}",
        "[",
        "]",
        "\"",
        "'",
        "|",
        ">",
        "&a",
        "*a",
        "!!map",
        "#",
        "?",
    ),
    fc.constantFrom("---\n", "...\n", "%YAML 1.2\n", "<<: ", "null", "~", "0x1F", "1e999", ".nan", "\u0000", "\uFEFF"),
    fc.constantFrom("mesh", "routes", "__proto__", "constructor", "250ms", "24h", "20%", "1MB", "999999999999d"),
    fc.string({ unit: "binary" }),
);

/** Asserts that any text gives a document that can be resolved, or findings with valid positions. */
function checkParsing(text: string): void {
    const lines = text.split("\n").length;
    parseDocument(text).caseOf({
        Left: findings => {
            expect(findings.length).toBeGreaterThan(0);
            for (const { column, expected, line, message } of findings) {
                expect(line).toBeGreaterThan(0);
                expect(line).toBeLessThanOrEqual(lines);
                expect(column).toBeGreaterThan(0);
                expect(message).not.toBe("");
                expect(expected).not.toBe("");
            }
        },
        Right: source => {
            expect(parseDocument(formatDocument(source)).unsafeCoerce()).toEqual(source);
            // Non-finite numbers become null in JSON.
            JSON.parse(JSON.stringify(resolveDocument(source)), (_key, value: unknown) => {
                expect(value).not.toBeNull();
                return value;
            });
        },
    });
}

// Guards against input that crashes the process, or that is accepted but can't be resolved.
test("parsing arbitrary text gives findings or a document that can be resolved", () => {
    fc.assert(fc.property(fc.array(fragment, { maxLength: 40 }), parts => checkParsing(parts.join(""))), FUZZ);
});

test("parsing an altered document gives findings or a document that can be resolved", () => {
    const text = readExample("lakeshore");
    const alteration = fc.tuple(fc.nat(text.length), fc.nat(30), fragment);
    fc.assert(
        fc.property(fc.array(alteration, { maxLength: 3, minLength: 1 }), alterations => {
            checkParsing(alterations.reduce(
                (altered, [start, length, inserted]) =>
                    altered.slice(0, start) + inserted + altered.slice(start + length),
                text,
            ));
        }),
        FUZZ,
    );
});

test("validating an arbitrary value in any section gives findings or a document that can be resolved", () => {
    const source = parseExample("marshals");
    const sections = fc.constantFrom("mesh", "services", "classes", "routes", "resources");
    fc.assert(
        fc.property(sections, fc.string(), fc.jsonValue(), (section, name, value) => {
            const part = source[section as keyof typeof source];
            const altered = { ...source, [section]: { ...part, [name]: value } };
            validateDocument(altered).ifRight(valid => resolveDocument(valid));
            validateDocument(value).ifRight(valid => resolveDocument(valid));
        }),
        FUZZ,
    );
});
