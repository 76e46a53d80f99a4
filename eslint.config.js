import tseslint from "typescript-eslint";

/** Verbs that function names may begin with; docs/glossary.md lists them. */
const VERBS = (
    "abandon accept add advance answer append apply await build cancel check claim classify clean close "
    + "collect combine compare complete compute connect consume copy count create decode delete derive "
    + "describe diff dispatch encode end enqueue escape estimate execute expect explain fail fetch find "
    + "flush format forward generate get grant handle has hash invariant is join kill limit list load map "
    + "mark match measure merge move normalize open parse pause plan prepare print probe publish put raise "
    + "rank read rebase receive record register relay release render renew replace replay report require "
    + "reset resolve restore review round run schedule select send set settle should sign sleep sort split "
    + "start stop stream submit sum summarize take to toggle try unpack update validate verify wait walk "
    + "watch with wrap write"
).split(" ");

const layers = ["state", "coordination", "protocol", "transport", "console", "binaries"];

/** Each layer may import itself and the layers before it in the list. */
const layerRules = layers.slice(0, -1).map((layer, index) => ({
    files: [`src/${layer}/**/*.ts`],
    ignores: ["**/__tests__/**"],
    rules: {
        "no-restricted-imports": ["error", {
            patterns: layers.slice(index + 1).map(outer => ({
                regex: `^(\\.\\./)+${outer}/`,
                message: `${layer} must not import ${outer}: imports point from outer layers to inner ones.`,
            })),
        }],
    },
}));

const verbRegex = `^(${VERBS.join("|")})([A-Z0-9]|$)`;

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**", "coverage/**"] },
    ...tseslint.configs.strict,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true } },
        rules: {
            "@typescript-eslint/consistent-type-imports": ["error", { prefer: "type-imports" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "function", format: ["camelCase"], custom: { regex: verbRegex, match: true } },
                { selector: "typeLike", format: ["PascalCase"] },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/no-extraneous-class": "off",
            "@typescript-eslint/no-invalid-void-type": "off",
            "curly": "error",
            "eqeqeq": "error",
            "no-console": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a constant object instead of an enum." },
            ],
            "no-restricted-properties": ["error", {
                object: "Math",
                property: "random",
                message: "Pass a random function.",
            }],
        },
    },
    {
        files: ["src/{state,coordination}/**/*.ts"],
        ignores: ["**/__tests__/**"],
        rules: {
            "no-restricted-globals": ["error", "setTimeout", "setInterval", "setImmediate"],
            "no-restricted-properties": ["error", {
                object: "Date",
                property: "now",
                message: "Deciding code takes the present time as an argument.",
            }, { object: "Math", property: "random", message: "Pass a random function." }],
        },
    },
    { files: ["**/*.js", "**/*.mjs"], ...tseslint.configs.disableTypeChecked },
    ...layerRules,
);
