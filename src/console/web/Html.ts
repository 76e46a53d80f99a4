/** HTML templates that escape every value that is not HTML itself. */

/** Markup that is inserted into templates without escaping. */
export class Html {
    constructor(readonly text: string) {}

    toString(): string {
        return this.text;
    }
}

/** Values of a template; `undefined` and `false` render as nothing, lists as their items. */
export type HtmlValue = Html | string | number | false | undefined | readonly HtmlValue[];

const ENTITIES: Readonly<Record<string, string>> = {
    "\"": "&quot;",
    "&": "&amp;",
    "'": "&#39;",
    "<": "&lt;",
    ">": "&gt;",
};

/** Escapes text for element content and quoted attributes. */
export function escapeHtml(text: string): string {
    return text.replace(/["&'<>]/g, character => ENTITIES[character] ?? character);
}

function renderValue(value: HtmlValue): string {
    if (value === undefined || value === false) {
        return "";
    }
    if (value instanceof Html) {
        return value.text;
    }
    return typeof value === "object" ? value.map(renderValue).join("") : escapeHtml(String(value));
}

/** Template tag that escapes each value unless it is `Html`. */
export function renderHtml(parts: TemplateStringsArray, ...values: readonly HtmlValue[]): Html {
    return new Html(parts.map((part, index) => part + renderValue(values[index])).join(""));
}
