import type { Either } from "purify-ts/Either";
import type { StoredObject, StoreError, StorePort, StoreResult } from "../../state/store/index.js";
import { HEAD_KEY } from "../../state/versions/index.js";
import type { MeshLog } from "./MeshOptions.js";

/** Wraps a store to count its calls and record whether the last one was answered. */
export class InstrumentedStore {
    readonly port: StorePort;
    private calls = 0;
    private reachable: boolean | undefined;

    constructor(store: StorePort, private readonly log: MeshLog) {
        this.port = {
            delete: (key, version, signal) => this.track(store.delete(key, version, signal)),
            get: (key, signal) => this.track(store.get(key, signal)),
            list: (prefix, signal) => this.track(store.list(prefix, signal)),
            put: (key, value, condition, signal) => this.track(store.put(key, value, condition, signal)),
            watch: (key, after, waitMs, signal) => this.track(store.watch(key, after, waitMs, signal)),
        };
    }

    getCallCount(): number {
        return this.calls;
    }

    /** Returns undefined until the first call has completed. */
    isReachable(): boolean | undefined {
        return this.reachable;
    }

    readHead(): StoreResult<StoredObject | undefined> {
        return this.port.get(HEAD_KEY);
    }

    private async track<T>(result: StoreResult<T>): Promise<Either<StoreError, T>> {
        this.calls++;
        const either = await result;
        const isReachable = either.caseOf({ Left: error => error.kind === "refused", Right: () => true });
        if (isReachable !== (this.reachable ?? true)) {
            this.logReachability(isReachable);
        }
        this.reachable = isReachable;
        return either;
    }

    private logReachability(isReachable: boolean): void {
        if (isReachable) {
            this.log.info({}, "mesh: store answers again.");
        }
        else {
            this.log.warn({}, "mesh: store does not answer.");
        }
    }
}
