/** Separates the flags that were given from their defaults, which stand behind the environment's variables. */
import type { ArgsDef } from "citty";
import { parseArgs } from "citty";

/** Reads the flags that were given, without defaults. */
export function collectFlags(argv: readonly string[], known: ArgsDef): Record<string, unknown> {
    const definitions = Object.fromEntries(Object.keys(known).map(flag => [flag, { type: "string" as const }]));
    const { _: positional, ...parsed } = parseArgs([...argv], definitions);
    // citty reports each flag in kebab and in camel case.
    const flags = Object.fromEntries(
        Object.entries(parsed).filter(([name, value]) => !/[A-Z]/.test(name) && value !== undefined),
    );
    return positional.length === 0 ? flags : { ...flags, [positional.join(" ")]: true };
}

/** Collects the defaults of flags; undefined for a flag without one. */
export function collectDefaults(known: ArgsDef): Record<string, string | undefined> {
    const defaults: Record<string, string | undefined> = {};
    for (const [flag, { default: fallback }] of Object.entries(known)) {
        defaults[flag] = typeof fallback === "string" ? fallback : undefined;
    }
    return defaults;
}
