/** Connects commands to the store and to a daemon, as flags and environment variables say. */
import type { ArgsDef } from "citty";
import type { StoreAccess } from "../../coordination/acceptance/index.js";
import type { DaemonClient, DaemonError } from "../../transport/operators/index.js";
import { createDaemonClient } from "../../transport/operators/index.js";
import { createStoreClient } from "../../transport/store/index.js";
import type { CliContext } from "./CliContext.js";
import { CommandFailure, ExitCode } from "./ExitCode.js";

/** Time after which a request to the store or a daemon counts as unanswered. */
const REQUEST_TIMEOUT_MS = 5_000;

export const JSON_FLAG = { json: { description: "Print one JSON value instead of text.", type: "boolean" } } as const;

export const STORE_FLAGS = {
    "store": { description: "Address of the store; or PAPAYATURN_STORE_URL.", type: "string", valueHint: "url" },
    "mesh-key-file": {
        description: "File with the mesh key; or PAPAYATURN_MESH_KEY with the key itself.",
        type: "string",
        valueHint: "file",
    },
} as const satisfies ArgsDef;

export const DAEMON_FLAGS = {
    "daemon": {
        description: "Address of a daemon's control interface; or PAPAYATURN_DAEMON_URL.",
        type: "string",
        valueHint: "url",
    },
    "token-file": {
        description: "File with the operators' token; or PAPAYATURN_TOKEN with the token itself.",
        type: "string",
        valueHint: "file",
    },
} as const satisfies ArgsDef;

/** Values of the flags above. */
interface ConnectionArgs {
    readonly "store"?: string | undefined;
    readonly "mesh-key-file"?: string | undefined;
    readonly "daemon"?: string | undefined;
    readonly "token-file"?: string | undefined;
}

/** Access to the store and the key that versions are signed with. */
export interface StoreConnection {
    readonly access: StoreAccess;
    readonly meshKey: string;
}

/** Reads a secret from a file or the environment; arguments of a process are visible to other users. */
async function readSecret(
    context: CliContext,
    file: string | undefined,
    variable: string,
): Promise<string | undefined> {
    const text = file === undefined ? context.environment[variable] : await readFile(context, file);
    return text?.trim() === "" ? undefined : text?.trim();
}

/** Reads a file; one that can't be read is a usage error. */
export async function readFile(context: CliContext, path: string): Promise<string> {
    try {
        return await context.readText(path);
    }
    catch (error) {
        throw new CommandFailure(ExitCode.Usage, `"${path}" can't be read: ${(error as Error).message}.`);
    }
}

function checkAddress(address: string, name: string): string {
    if (!URL.canParse(address) || !address.startsWith("http")) {
        throw new CommandFailure(
            ExitCode.Usage,
            `"${address}" is no address of a ${name}, such as http://127.0.0.1:7400.`,
        );
    }
    return address;
}

/** Runs an action with a connection to the store and closes it afterwards. */
export async function withStore<Result>(
    args: ConnectionArgs,
    context: CliContext,
    action: (connection: StoreConnection) => Promise<Result>,
): Promise<Result> {
    const url = args.store ?? context.environment["PAPAYATURN_STORE_URL"];
    const meshKey = await readSecret(context, args["mesh-key-file"], "PAPAYATURN_MESH_KEY");
    if (url === undefined || meshKey === undefined) {
        throw new CommandFailure(
            ExitCode.Usage,
            url === undefined
                ? "The store is not known: use --store or PAPAYATURN_STORE_URL."
                : "The mesh key is not known: use --mesh-key-file or PAPAYATURN_MESH_KEY.",
        );
    }
    const store = createStoreClient({ timeoutMs: REQUEST_TIMEOUT_MS, url: checkAddress(url, "store") });
    try {
        return await action({ access: { random: context.random, sleep: context.sleep, store }, meshKey });
    }
    finally {
        await store.close();
    }
}

/** Creates a client of the daemon that the arguments or the environment name; undefined when none is named. */
export async function openDaemon(args: ConnectionArgs, context: CliContext): Promise<DaemonClient | undefined> {
    const url = args.daemon ?? context.environment["PAPAYATURN_DAEMON_URL"];
    const token = await readSecret(context, args["token-file"], "PAPAYATURN_TOKEN");
    return url === undefined
        ? undefined
        : createDaemonClient({ timeoutMs: REQUEST_TIMEOUT_MS, token, url: checkAddress(url, "daemon") });
}

/** Converts a failed request to a daemon to the failure of the command. */
export function createDaemonFailure(error: DaemonError): CommandFailure {
    return new CommandFailure(error.kind === "unreachable" ? ExitCode.Unreachable : ExitCode.Failed, error.detail);
}
