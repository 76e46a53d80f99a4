/** Flags of the daemon. Each has an environment variable: `--peer-port` is also `PAPAYATURN_PEER_PORT`. */
import type { ArgsDef } from "citty";

export const DAEMON_FLAGS = {
    "address": { description: "IP address at which other daemons reach this one", type: "string", valueHint: "ip" },
    "control-host": { default: "127.0.0.1", description: "address of the control interface", type: "string" },
    "control-port": { default: "7403", description: "port of the control interface", type: "string" },
    "failure-domain": { description: "failure domain of the VM", type: "string" },
    "id": { description: "unique name of this daemon", type: "string" },
    "log-level": { default: "info", description: "trace, debug, info, warn, error or fatal", type: "string" },
    "mesh-key-file": {
        description: "file with the mesh key; or PAPAYATURN_MESH_KEY with the key itself",
        type: "string",
    },
    "peer-port": { default: "7402", description: "port for connections of other daemons", type: "string" },
    "region": { description: "region of the VM", type: "string" },
    "relay-port": { default: "7401", description: "port for requests relayed by other daemons", type: "string" },
    "request-host": { default: "127.0.0.1", description: "address for requests of callers", type: "string" },
    "request-port": { default: "7400", description: "port for requests of callers", type: "string" },
    "seed": { default: "", description: "peers to begin with: ip:port,ip:port", type: "string" },
    "statsd": { description: "host:port of a statsd server for metrics", type: "string" },
    "stop-timeout-ms": { default: "30000", description: "longest wait for requests at a planned stop", type: "string" },
    "store": { description: "base URL of the store", type: "string", valueHint: "url" },
    "token-file": {
        description: "file with the operators' token; or PAPAYATURN_TOKEN with the token itself",
        type: "string",
    },
} as const satisfies ArgsDef;

export type DaemonFlag = keyof typeof DAEMON_FLAGS;

/** Returns the environment variable of a flag. The command line uses the same variable for the store. */
export function deriveVariableName(flag: string): string {
    return flag === "store" ? "PAPAYATURN_STORE_URL" : `PAPAYATURN_${flag.toUpperCase().replaceAll("-", "_")}`;
}
