import type { ObjectVersion, StoredObject, StoreError, StorePort, StoreResult } from "../../src/state/store/index.js";
import type { StoreCall, StoreReply } from "./WorkerMessages.js";

import { Left, Right } from "purify-ts/Either";

const UNSUPPORTED: StoreError = { kind: "refused", reason: "invalid", detail: "not used by claims" };

/** A store port that forwards its calls to another thread. */
export interface ThreadStore extends StorePort {
    receiveReply(call: number, reply: StoreReply): void;
}

export function createThreadStore(send: (call: number, request: StoreCall) => void): ThreadStore {
    const pending = new Map<number, (reply: StoreReply) => void>();
    let lastCall = 0;

    async function sendCall<T>(request: StoreCall): StoreResult<T> {
        const reply = await new Promise<StoreReply>(resolve => {
            pending.set(++lastCall, resolve);
            send(lastCall, request);
        });
        return reply.kind === "error" ? Left(reply.error) : Right(reply.value as T);
    }

    return {
        get: key =>
            sendCall<StoredObject | undefined>({ operation: "get", key, value: "", condition: { kind: "absent" } }),
        put: (key, value, condition) => sendCall<ObjectVersion>({ operation: "put", key, value, condition }),
        delete: (key, version) =>
            sendCall<void>({ operation: "delete", key, value: "", condition: { kind: "version", version } }),
        list: () => Promise.resolve(Left(UNSUPPORTED)),
        watch: () => Promise.resolve(Left(UNSUPPORTED)),
        receiveReply: (call, reply) => {
            pending.get(call)?.(reply);
            pending.delete(call);
        },
    };
}

/** Executes a call that another thread sent. */
export async function executeStoreCall(store: StorePort, call: StoreCall): Promise<StoreReply> {
    const result = await dispatchCall(store, call);
    return result.caseOf<StoreReply>({
        Left: error => ({ kind: "error", error }),
        Right: value => ({ kind: "result", value }),
    });
}

function dispatchCall(store: StorePort, { operation, key, value, condition }: StoreCall): StoreResult<unknown> {
    switch (operation) {
        case "get":
            return store.get(key);
        case "put":
            return store.put(key, value, condition);
        case "delete":
            return store.delete(key, condition.kind === "version" ? condition.version : 0);
    }
}
