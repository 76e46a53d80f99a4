import { describe, expect, it } from "vitest";
import { parseConsoleSettings } from "../../index.js";

const ENVIRONMENT = { PAPAYATURN_MESH_KEY: "0123456789abcdef", PAPAYATURN_STORE_URL: "http://127.0.0.1:7400" };

function readNoFile(path: string): string {
    throw new Error(`no file ${path}`);
}

// Guards against unsafe defaults, and against a start that reports bad settings one at a time.
describe("console settings", () => {
    it("default to loopback and a generated token", () => {
        expect(parseConsoleSettings([], ENVIRONMENT, readNoFile).unsafeCoerce()).toMatchObject({
            host: "127.0.0.1",
            port: 7480,
            storeUrl: "http://127.0.0.1:7400",
            token: undefined,
        });
    });

    it("prefer flags to environment variables and use the same store flag as the command line", () => {
        const argv = ["--store", "http://127.0.0.1:1", "--console-port", "0", "--console-names", "mesh.example"];
        const settings = parseConsoleSettings(argv, { ...ENVIRONMENT, PAPAYATURN_CONSOLE_PORT: "5" }, readNoFile);
        expect(settings.unsafeCoerce()).toMatchObject({ port: 0, storeUrl: "http://127.0.0.1:1" });
        expect([...settings.unsafeCoerce().hostNames]).toContain("mesh.example");
    });

    it("are all checked, so that every invalid one is reported at once", () => {
        const argv = ["--console-host", "mesh.example", "--console-port", "99999", "--colour=red"];
        const findings = parseConsoleSettings(argv, { PAPAYATURN_TOKEN: "short" }, readNoFile).swap().unsafeCoerce();
        expect(findings.map(finding => finding.setting)).toEqual([
            "colour",
            "--console-host (PAPAYATURN_CONSOLE_HOST)",
            "--mesh-key-file (PAPAYATURN_MESH_KEY_FILE)",
            "--console-port (PAPAYATURN_CONSOLE_PORT)",
            "--store (PAPAYATURN_STORE_URL)",
            "--token-file (PAPAYATURN_TOKEN_FILE)",
        ]);
    });
});
