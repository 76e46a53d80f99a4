import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { fileURLToPath } from "node:url";
import { buildOwner } from "./MeasuredDocument.js";
import type { ProcessReply, ProcessRequest, ProcessUsage, Role } from "./ProcessMessages.js";

/** One started process and its ports. */
export interface StartedProcess {
    readonly role: Role;
    readonly requestPort: number;
    readonly relayPort: number;
    readUsage(): Promise<ProcessUsage>;
    send(message: ProcessRequest): void;
    stop(): void;
}

export type ProcessGroup = Readonly<Record<Role, StartedProcess>>;

/** Starts the server, the baseline hop and the proxies in one process each, and tells them the server's owner. */
export async function startProcessGroup(): Promise<ProcessGroup> {
    const [server, bareHop, owner, leasing, relaying] = await Promise.all([
        startProcess("server"),
        startProcess("bare-hop"),
        startProcess("owner"),
        startProcess("leasing"),
        startProcess("relaying"),
    ]);
    const member = buildOwner("owner", owner.relayPort, server.requestPort);
    for (const each of [bareHop, owner, leasing, relaying]) {
        each.send({ kind: "owner", owner: member });
    }
    return { server, "bare-hop": bareHop, owner, leasing, relaying };
}

async function startProcess(role: Role): Promise<StartedProcess> {
    const child = fork(fileURLToPath(new URL("./MeasuredProcess.js", import.meta.url)), [role]);
    const ready = await awaitReply(child, "ready");
    return {
        role,
        requestPort: ready.requestPort,
        relayPort: ready.relayPort,
        readUsage: () => {
            const usage = awaitReply(child, "usage");
            child.send({ kind: "usage" } satisfies ProcessRequest);
            return usage;
        },
        send: message => {
            child.send(message);
        },
        stop: () => {
            child.disconnect();
        },
    };
}

function awaitReply<K extends ProcessReply["kind"]>(
    child: ChildProcess,
    kind: K,
): Promise<Extract<ProcessReply, { kind: K; }>> {
    return new Promise((resolve, reject) => {
        const accept = (message: unknown): void => {
            const reply = message as ProcessReply;
            if (reply.kind === kind) {
                child.off("message", accept);
                child.off("exit", fail);
                resolve(reply as Extract<ProcessReply, { kind: K; }>);
            }
        };
        const fail = (): void => {
            reject(new Error(`a measured process exited before its "${kind}" reply`));
        };
        child.on("message", accept);
        child.once("exit", fail);
    });
}
