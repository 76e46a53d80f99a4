import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import type { StoredObject, StoreError, StorePort, StoreResult } from "../../../../state/store/index.js";
import type { VirtualTime } from "./VirtualTime.js";

const ANSWER_DELAY_MS = 2;

/** The store in memory, with outages. */
export class FakeStore implements StorePort {
    isDown = false;
    /** Time of each call. */
    readonly calls: number[] = [];
    readonly objects = new Map<string, StoredObject>();
    private readonly watchers = new Set<() => void>();

    constructor(private readonly time: VirtualTime) {}

    /** Writes without a call, as another process does. */
    write(key: string, value: string): void {
        this.objects.set(key, { key, value, version: (this.objects.get(key)?.version ?? 0) + 1 });
        [...this.watchers].forEach(notify => notify());
    }

    get(key: string): StoreResult<StoredObject | undefined> {
        return this.answer(() => Right(this.objects.get(key)));
    }

    put(key: string, value: string, condition: Parameters<StorePort["put"]>[2]): StoreResult<number> {
        return this.answer(() => {
            const held = this.objects.get(key)?.version;
            if (held !== (condition.kind === "absent" ? undefined : condition.version)) {
                return Left({ detail: "another write came first", kind: "refused", reason: "condition" } as const);
            }
            this.write(key, value);
            return Right((held ?? 0) + 1);
        });
    }

    delete(key: string): StoreResult<void> {
        return this.answer(() => {
            this.objects.delete(key);
            return Right(undefined);
        });
    }

    list(prefix: string): StoreResult<readonly { readonly key: string; readonly version: number; }[]> {
        return this.answer(() => Right([...this.objects.values()].filter(({ key }) => key.startsWith(prefix))));
    }

    async watch(
        key: string,
        after: number,
        waitMs: number,
        signal?: AbortSignal,
    ): StoreResult<StoredObject | undefined> {
        const deadline = this.time.present + waitMs;
        const first = await this.answer(() => Right(undefined));
        if (first.isLeft()) {
            return first;
        }
        return new Promise(resolve => {
            const finish = (result: Either<StoreError, StoredObject | undefined>): void => {
                this.watchers.delete(notify);
                resolve(result);
            };
            const notify = (): void => {
                const held = this.objects.get(key);
                if (held !== undefined && held.version > after) {
                    finish(Right(held));
                }
            };
            this.watchers.add(notify);
            this.time.after(deadline - this.time.present, () => finish(Right(undefined)));
            signal?.addEventListener("abort", () => finish(Left({ detail: "cancelled", kind: "unreachable" })));
            notify();
        });
    }

    private answer<T>(perform: () => Either<StoreError, T>): StoreResult<T> {
        this.calls.push(this.time.present);
        return new Promise(resolve => {
            this.time.after(ANSWER_DELAY_MS, () => {
                resolve(this.isDown ? Left({ detail: "the store is down", kind: "unreachable" }) : perform());
            });
        });
    }
}
