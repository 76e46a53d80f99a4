/** Generates the demo's requests from the routes of a document. */
import type { MeshDocument, RouteSettings } from "../src/state/document/index.js";
import type { Random } from "../src/state/shared/index.js";

/** Share of non-repeatable requests that repeat an earlier key, as a caller does after a lost answer. */
const REPEATED_KEY_SHARE = 0.1;
/** Share of non-repeatable requests that lack their key and must be refused as not run. */
const MISSING_KEY_SHARE = 0.05;
/** Methods that carry a body. */
const BODY_METHODS: readonly string[] = ["POST", "PUT", "PATCH"];

export interface PlannedRequest {
    /** Unique in one demo run; the backend server reports it when it starts to execute the request. */
    readonly tag: string;
    readonly route: string;
    readonly class: string;
    readonly method: string;
    readonly path: string;
    readonly host: string | undefined;
    readonly idempotencyKey: string | undefined;
    readonly body: string | undefined;
    /** Whether the request lacks its key on purpose, so that it must be refused as not run. */
    readonly isRefusalExpected: boolean;
}

/** Generates requests for the routes in round-robin order, which covers every class. */
export class RequestGenerator {
    readonly #routes: readonly RouteSettings[];
    readonly #keyedByRoute = new Map<string, PlannedRequest[]>();
    #generated = 0;

    constructor(document: MeshDocument, private readonly random: Random) {
        this.#routes = Object.values(document.routes);
    }

    generateRequest(): PlannedRequest {
        const route = this.#routes[this.#generated % this.#routes.length];
        if (route === undefined) {
            throw new RangeError("The document has no route.");
        }
        const tag = `request-${this.#generated++}`;
        return route.repeatable ? this.#planRequest(route, tag, undefined) : this.#planKeyedRequest(route, tag);
    }

    /** Leaves out the key, repeats an earlier request under a new tag, or plans a request with a new key. */
    #planKeyedRequest(route: RouteSettings, tag: string): PlannedRequest {
        if (this.random() < MISSING_KEY_SHARE) {
            return { ...this.#planRequest(route, tag, undefined), isRefusalExpected: true };
        }
        const earlier = this.#keyedByRoute.get(route.name) ?? [];
        this.#keyedByRoute.set(route.name, earlier);
        const repeated = this.random() < REPEATED_KEY_SHARE
            ? earlier[Math.floor(this.random() * earlier.length)]
            : undefined;
        if (repeated !== undefined) {
            return { ...repeated, tag };
        }
        const planned = this.#planRequest(route, tag, `key-of-${tag}`);
        earlier.push(planned);
        return planned;
    }

    #planRequest(route: RouteSettings, tag: string, idempotencyKey: string | undefined): PlannedRequest {
        const method = route.match.methods[0] ?? "GET";
        return {
            body: BODY_METHODS.includes(method) ? JSON.stringify({ tag }) : undefined,
            class: route.class,
            host: route.match.host,
            idempotencyKey,
            isRefusalExpected: false,
            method,
            path: `${route.match.pathPrefix.replace(/\/$/, "")}/${Math.floor(this.random() * 1000)}`,
            route: route.name,
            tag,
        };
    }
}
