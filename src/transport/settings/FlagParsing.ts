/** Separates given flags from their defaults, because environment variables take precedence over defaults. */
import type { ArgsDef } from "citty";
import { parseArgs } from "citty";

/** Parses the given flags, without defaults. */
export function collectFlags(argv: readonly string[], known: ArgsDef): Record<string, unknown> {
    const definitions = Object.fromEntries(Object.keys(known).map(flag => [flag, { type: "string" as const }]));
    const { _: positional, ...parsed } = parseArgs([...argv], definitions);
    // citty returns each flag in kebab case and in camel case.
    const flags = Object.fromEntries(
        Object.entries(parsed).filter(([name, value]) => !/[A-Z]/.test(name) && value !== undefined),
    );
    return positional.length === 0 ? flags : { ...flags, [positional.join(" ")]: true };
}

/** Collects the default values of flags; undefined for a flag without one. */
export function collectDefaults(known: ArgsDef): Record<string, string | undefined> {
    const defaults: Record<string, string | undefined> = {};
    for (const [flag, { default: fallback }] of Object.entries(known)) {
        defaults[flag] = typeof fallback === "string" ? fallback : undefined;
    }
    return defaults;
}
