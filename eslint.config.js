import tseslint from "typescript-eslint";

/** Verbs that function names may begin with; docs/glossary.md lists them. */
const VERBS = (
    "abandon accept add admit advance announce answer append apply assert await balance begin build bump cancel check choose claim classify clean clear "
    + "close collect combine commit compact compare complete compute connect consume copy count create decay decide decode "
    + "deflate delete deliver derive describe detect diff dispatch divide drain draw drop eject emit encode end enqueue ensure enter escape estimate evict "
    + "execute expect expire explain export extract fail fetch fill filter find finish fit flush fold force format forward freeze generate get give grant handle "
    + "has hash hold import increment inflate inject insert install invariant is join keep kill lease limit link list load log lookup make map mark match "
    + "measure merge move normalize note notify observe on open order parse pass pause percentile pick plan prepare print probe proceed process propose prove proxy "
    + "publish pull push put queue raise rank read rebuild rebase receive reconcile record redirect refill refresh refuse refute register "
    + "reject relay release remember remove renew render repair replace replay report request require reserve reset resolve respond restore "
    + "resume retry return review revoke round run sample save scan schedule seal select send serve set settle shift should show shuffle sign skip sleep "
    + "sort spawn spend split spread start step stop store stream strip submit subscribe sum summarize suspect sweep take tell throttle tick to toggle track "
    + "transform trim truncate try unpack update use validate verify visit wait walk warm watch weigh with wrap write yield"
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
