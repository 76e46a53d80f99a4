import { expect, test } from "vitest";
import { parseDaemonSettings } from "../../index.js";

const MESH_KEY = "a mesh key of the test";
const TOKEN = "a token of the test";

function buildFlags(changes: Readonly<Record<string, string>> = {}): string[] {
    const flags = {
        "address": "10.0.0.1",
        "failure-domain": "erie-a",
        "id": "erie-a-1",
        "region": "erie",
        "store": "http://10.0.0.9:8000",
        ...changes,
    };
    return Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, value]);
}

// Guards against an operator having to restart the daemon to see each further fault.
test("all faults of the settings are reported together", () => {
    const findings = parseDaemonSettings(
        [
            ...buildFlags({
                "address": "erie.example",
                "id": "Erie 1",
                "log-level": "loud",
                "peer-port": "70000",
                "seed": "10.0.0.2:7402,nowhere",
                "store": "ftp://store",
            }),
            "--sed",
            "x",
            "stray",
        ],
        { PAPAYATURN_TOKEN: "short" },
    ).swap().extract();
    expect(findings).toMatchInlineSnapshot(`
      [
        {
          "message": "is not a flag of this program",
          "setting": "sed",
        },
        {
          "message": "is not a flag of this program",
          "setting": "x stray",
        },
        {
          "message": ""erie.example" is not an IP address",
          "setting": "--address (PAPAYATURN_ADDRESS)",
        },
        {
          "message": ""Erie 1" is not a name of lower-case letters, digits, "-" and "."",
          "setting": "--id (PAPAYATURN_ID)",
        },
        {
          "message": ""loud" is none of trace, debug, info, warn, error, fatal",
          "setting": "--log-level (PAPAYATURN_LOG_LEVEL)",
        },
        {
          "message": "is missing; or set PAPAYATURN_MESH_KEY",
          "setting": "--mesh-key-file (PAPAYATURN_MESH_KEY_FILE)",
        },
        {
          "message": ""70000" is not a whole number from 0 to 65535",
          "setting": "--peer-port (PAPAYATURN_PEER_PORT)",
        },
        {
          "message": ""nowhere" is not of the form host:port",
          "setting": "--seed (PAPAYATURN_SEED)",
        },
        {
          "message": ""ftp://store" is not an http or https URL",
          "setting": "--store (PAPAYATURN_STORE_URL)",
        },
        {
          "message": "the secret has fewer than 16 characters",
          "setting": "--token-file (PAPAYATURN_TOKEN_FILE)",
        },
      ]
    `);
});

// Guards against variables that take precedence over flags, and against secrets that are not trimmed.
test("a flag takes precedence over its variable, and a secret is read from a file and trimmed", () => {
    const settings = parseDaemonSettings(buildFlags({ "mesh-key-file": "/key", "peer-port": "0" }), {
        PAPAYATURN_LOG_LEVEL: "debug",
        PAPAYATURN_PEER_PORT: "1234",
        PAPAYATURN_SEED: "10.0.0.2:7402, [::1]:7403",
        PAPAYATURN_TOKEN: TOKEN,
    }, () => `${MESH_KEY}\n`).extract();
    expect(settings).toMatchObject({
        logLevel: "debug",
        meshKey: MESH_KEY,
        peerPort: 0,
        requestPort: 7400,
        seeds: [{ host: "10.0.0.2", port: 7402 }, { host: "::1", port: 7403 }],
        token: TOKEN,
    });
});
