/** In-memory objects with versions, conditional writes and watches. */

/** Value of an object with its version. */
export interface StoredObject {
    readonly value: string;
    readonly version: number;
}

/** Precondition of a write: the object is absent (0) or has exactly this version. */
export type ExpectedVersion = number;

/** Result of a conditional write or deletion. */
export type WriteResult =
    | { readonly kind: "written"; readonly version: number; }
    | { readonly kind: "condition"; readonly version: number; };

type Waiter = (object: StoredObject) => void;

/** The version of an object that does not exist. */
export const ABSENT_VERSION = 0;

export class ObjectStore {
    private readonly objects = new Map<string, StoredObject>();
    private readonly waiters = new Map<string, Set<Waiter>>();
    /** Shared by all keys, so that no key gets the same version twice. */
    private lastVersion = 0;

    get(key: string): StoredObject | undefined {
        return this.objects.get(key);
    }

    put(key: string, value: string, expected: ExpectedVersion): WriteResult {
        const version = this.objects.get(key)?.version ?? ABSENT_VERSION;
        if (version !== expected) {
            return { kind: "condition", version };
        }
        this.lastVersion += 1;
        const object = { value, version: this.lastVersion };
        this.objects.set(key, object);
        for (const deliver of this.waiters.get(key) ?? []) {
            deliver(object);
        }
        this.waiters.delete(key);
        return { kind: "written", version: object.version };
    }

    /** Deletes an object; an absent one counts as deleted. */
    delete(key: string, expected: ExpectedVersion): WriteResult {
        const version = this.objects.get(key)?.version ?? ABSENT_VERSION;
        if (version !== ABSENT_VERSION && version !== expected) {
            return { kind: "condition", version };
        }
        this.objects.delete(key);
        return { kind: "written", version };
    }

    /** Lists the keys with a prefix in order, starting after the key `after`. */
    list(prefix: string, after: string): readonly { readonly key: string; readonly version: number; }[] {
        return [...this.objects]
            .filter(([key]) => key.startsWith(prefix) && key > after)
            .map(([key, { version }]) => ({ key, version }))
            .sort((a, b) => a.key < b.key ? -1 : 1);
    }

    /** Waits for a version above `after`; undefined if the signal aborts the wait first. */
    async watch(key: string, after: number, signal: AbortSignal): Promise<StoredObject | undefined> {
        const present = this.objects.get(key);
        if ((present?.version ?? ABSENT_VERSION) > after) {
            return present;
        }
        return new Promise(resolve => {
            const waiters = this.waiters.get(key) ?? new Set<Waiter>();
            this.waiters.set(key, waiters.add(resolve));
            signal.addEventListener("abort", () => {
                waiters.delete(resolve);
                resolve(undefined);
            }, { once: true });
        });
    }
}
