import { EXCLUSION_DURATION_MS } from "./MeshConstants.js";

/** Members that recently could not be reached, and are not selected as parents or relays. */
export class Exclusions {
    private readonly until = new Map<string, number>();
    /** Incremented with each change, so that caches can be invalidated. */
    generation = 0;

    constructor(private readonly now: () => number) {}

    add(id: string): void {
        this.until.set(id, this.now() + EXCLUSION_DURATION_MS);
        this.generation++;
    }

    delete(id: string): void {
        if (this.until.delete(id)) {
            this.generation++;
        }
    }

    /** Removes expired entries. */
    expire(): void {
        const now = this.now();
        [...this.until].filter(([, until]) => until <= now).forEach(([id]) => this.delete(id));
    }

    list(): ReadonlySet<string> {
        return new Set(this.until.keys());
    }
}
