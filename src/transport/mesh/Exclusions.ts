import { EXCLUSION_DURATION_MS } from "./MeshConstants.js";

/** Members that could not be reached lately, and so are passed over as parents and relays. */
export class Exclusions {
    private readonly until = new Map<string, number>();
    /** Rises with each change, for caches. */
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

    /** Forgets those whose time is over. */
    expire(): void {
        const now = this.now();
        [...this.until].filter(([, until]) => until <= now).forEach(([id]) => this.delete(id));
    }

    list(): ReadonlySet<string> {
        return new Set(this.until.keys());
    }
}
