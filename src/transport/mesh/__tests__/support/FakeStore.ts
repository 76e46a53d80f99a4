import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import type { StoredObject, StoreError, StorePort, StoreResult } from "../../../../state/store/index.js";
import type { VirtualTime } from "./VirtualTime.js";

const ANSWER_DELAY_MS = 2;

/** In-memory store that can be unreachable for all daemons or for those of one region. */
export class FakeStore {
    isDown = false;
    readonly unreachableRegions = new Set<string>();
    /** All calls, each as `operation key`. */
    readonly calls: string[] = [];
    readonly objects = new Map<string, StoredObject>();
    private readonly watchers = new Set<() => void>();

    constructor(private readonly time: VirtualTime) {}

    /** Writes an object without recording a call, as another process would. */
    write(key: string, value: string): void {
        this.objects.set(key, { key, value, version: (this.objects.get(key)?.version ?? 0) + 1 });
        [...this.watchers].forEach(notify => notify());
    }

    /** Creates a client for the daemons of a region. */
    createClient(region: string): StorePort {
        return new FakeStoreClient(this, this.time, () => this.isDown || this.unreachableRegions.has(region));
    }

    addWatcher(notify: () => void): () => void {
        this.watchers.add(notify);
        return () => void this.watchers.delete(notify);
    }
}

class FakeStoreClient implements StorePort {
    constructor(
        private readonly store: FakeStore,
        private readonly time: VirtualTime,
        private readonly isDown: () => boolean,
    ) {}

    get(key: string): StoreResult<StoredObject | undefined> {
        return this.answer(`get ${key}`, () => Right(this.store.objects.get(key)));
    }

    put(key: string, value: string, condition: Parameters<StorePort["put"]>[2]): StoreResult<number> {
        return this.answer(`put ${key}`, () => {
            const held = this.store.objects.get(key)?.version;
            if (held !== (condition.kind === "absent" ? undefined : condition.version)) {
                return Left({ detail: "another write came first", kind: "refused", reason: "condition" } as const);
            }
            this.store.write(key, value);
            return Right((held ?? 0) + 1);
        });
    }

    delete(key: string): StoreResult<void> {
        return this.answer(`delete ${key}`, () => {
            this.store.objects.delete(key);
            return Right(undefined);
        });
    }

    list(prefix: string): StoreResult<readonly { readonly key: string; readonly version: number; }[]> {
        return this.answer(
            `list ${prefix}`,
            () => Right([...this.store.objects.values()].filter(({ key }) => key.startsWith(prefix))),
        );
    }

    async watch(
        key: string,
        after: number,
        waitMs: number,
        signal?: AbortSignal,
    ): StoreResult<StoredObject | undefined> {
        const deadline = this.time.now + waitMs;
        const first = await this.answer(`watch ${key}`, () => Right(undefined));
        if (first.isLeft()) {
            return first;
        }
        return new Promise(resolve => {
            const finish = (result: Either<StoreError, StoredObject | undefined>): void => {
                unwatch();
                resolve(result);
            };
            const notify = (): void => {
                if (this.isDown()) {
                    return;
                }
                const held = this.store.objects.get(key);
                if (held !== undefined && held.version > after) {
                    finish(Right(held));
                }
            };
            const unwatch = this.store.addWatcher(notify);
            this.time.after(deadline - this.time.now, () => finish(Right(undefined)));
            signal?.addEventListener("abort", () => finish(Left({ detail: "cancelled", kind: "unreachable" })));
            notify();
        });
    }

    private answer<T>(call: string, perform: () => Either<StoreError, T>): StoreResult<T> {
        this.store.calls.push(call);
        return new Promise(resolve => {
            this.time.after(ANSWER_DELAY_MS, () => {
                resolve(this.isDown() ? Left({ detail: "the store is down", kind: "unreachable" }) : perform());
            });
        });
    }
}
