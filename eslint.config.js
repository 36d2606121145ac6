import { createTypeScriptImportResolver } from "eslint-import-resolver-typescript";
import importX from "eslint-plugin-import-x";
import tseslint from "typescript-eslint";

/** Layers that each layer may not import. Imports go one way: state, protocol, then coordination and transport side by side. */
const FORBIDDEN_LAYERS = {
    state: ["protocol", "coordination", "transport", "daemon", "cli"],
    protocol: ["coordination", "transport", "daemon", "cli"],
    coordination: ["transport", "daemon", "cli"],
    transport: ["coordination", "daemon", "cli"],
    daemon: ["cli"],
    cli: ["daemon"],
};

const layerRules = Object.entries(FORBIDDEN_LAYERS).map(([layer, forbidden]) => ({
    files: [`src/${layer}/**/*.ts`],
    rules: {
        "no-restricted-imports": ["error", {
            patterns: [
                {
                    regex: `^(\\.\\./)+(${forbidden.join("|")})/`,
                    message: `Layer "${layer}" does not import this layer; see docs/ARCHITECTURE.md.`,
                },
                {
                    regex: "^(\\.\\./)+(?!gen/)[^/.]+/(?!(?:[^/.]+/)*mod\\.js$|gen/)",
                    message: "A folder is imported by its mod.js only.",
                },
                { regex: "standin|features|measure", message: "The product imports no stand-in, test or experiment." },
            ],
        }],
    },
}));

export default tseslint.config(
    { ignores: ["dist/", "target/", "node_modules/", "src/protocol/gen/"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        plugins: { "import-x": importX },
        settings: {
            "import-x/resolver-next": [createTypeScriptImportResolver({ project: "./tsconfig.json" })],
            "import-x/parsers": { "@typescript-eslint/parser": [".ts"] },
            "import-x/extensions": [".ts"],
        },
        languageOptions: { parserOptions: { project: "./tsconfig.json" } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "no-var": "error",
            "prefer-const": "error",
            "import-x/no-cycle": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined, not null." },
                { selector: "CallExpression[callee.property.name='forEach']", message: "Use a for...of loop." },
                { selector: "ForInStatement", message: "Use a for...of loop." },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/no-explicit-any": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "default", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "import", format: null },
                { selector: "variable", format: ["camelCase", "UPPER_CASE"] },
                { selector: "variable", modifiers: ["global", "const"], format: ["camelCase", "UPPER_CASE", "PascalCase"] },
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "parameter", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: ["objectLiteralProperty", "typeProperty"], format: null },
                { selector: "classProperty", modifiers: ["static"], format: ["camelCase", "UPPER_CASE", "PascalCase"] },
            ],
        },
    },
    {
        files: ["eslint.config.js"],
        rules: { "no-restricted-syntax": "off" },
        ...tseslint.configs.disableTypeChecked,
    },
    ...layerRules,
);
