/** Command-line flags. Each has an environment variable, for example `PAPAYATURN_CONSOLE_PORT` for `--console-port`. */
import type { ArgsDef } from "citty";

export const CONSOLE_FLAGS = {
    "console-host": { default: "127.0.0.1", description: "IP address to listen on", type: "string", valueHint: "ip" },
    "console-names": {
        default: "",
        description: "host names by which the console is reached besides loopback: name,name",
        type: "string",
    },
    "console-port": { default: "7480", description: "port to listen on; 0 for a free one", type: "string" },
    "log-level": { default: "info", description: "trace, debug, info, warn, error or fatal", type: "string" },
    "mesh-key-file": {
        description: "file with the mesh key; or PAPAYATURN_MESH_KEY with the key itself",
        type: "string",
    },
    "store": { description: "base URL of the store", type: "string", valueHint: "url" },
    "token-file": {
        description: "file with the token to sign in; or PAPAYATURN_TOKEN; generated and printed when neither is set",
        type: "string",
    },
} as const satisfies ArgsDef;
