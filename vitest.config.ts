import { defineConfig } from "vitest/config";

export default defineConfig({
    test: {
        include: ["**/__tests__/**/*.test.ts"],
        exclude: ["**/node_modules/**", "dist/**", "target/**"],
        testTimeout: 30_000,
        hookTimeout: 30_000,
        maxWorkers: 6,
    },
});
