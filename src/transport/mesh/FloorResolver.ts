import { getReceivedVersion } from "../../coordination/distribution/index.js";
import { LinkRole } from "../../protocol/peer/index.js";
import type { MessageOf } from "../../protocol/peer/index.js";
import { parseHead } from "../../state/versions/index.js";
import { sleepFor, withTimeout } from "../timers/index.js";
import type { InstrumentedStore } from "./InstrumentedStore.js";
import type { Link } from "./Link.js";
import { REQUEST_TIMEOUT_MS } from "./MeshConstants.js";
import type { MeshComponent, MeshContext, MessageHandlers } from "./MeshContext.js";
import { PendingRequests } from "./PendingRequests.js";
import type { VersionExchange } from "./VersionExchange.js";

/** Highest-ranked members of another failure domain that are queried in turn to find a settled relay. */
const MEMBERS_TO_QUERY = 3;
/** Timeout of a floor request, which may reach the region relay, the store and other failure domains. */
const FLOOR_TIMEOUT_MS = 3 * REQUEST_TIMEOUT_MS;

/** Pause between two queries; limits the store reads for many restarting daemons to 20 per second. */
const FLOOR_QUERY_SPACING_MS = 50;

type DomainFloor = MessageOf<"domainFloorAnswer">;

/** The running query. Requests that arrive while it runs share the next one, which starts after it has finished. */
interface FloorQuery {
    /** Resolves when the next query may start. */
    readonly ended: Promise<void>;
    next: Promise<number | undefined> | undefined;
}

/**
 * Resolves the floor, the lowest version that may come into force, of a daemon that started without
 * state, and answers the requests of the daemons below it in the tree. See docs/design.md, 2.3.
 */
export class FloorResolver implements MeshComponent {
    readonly handlers: MessageHandlers = {
        domainFloorAnswer: message => this.domainRequests.resolve(message.request, message),
        domainFloorRequest: (message, link) => this.handleDomainRequest(message, link),
        floorAnswer: message => this.requests.resolve(message.request, message.floor),
        floorRequest: (message, link) => void this.handleRequest(message, link),
    };
    private readonly requests: PendingRequests<number | undefined>;
    private readonly domainRequests: PendingRequests<DomainFloor>;
    private currentQuery: FloorQuery | undefined;
    private isSettling = false;

    constructor(
        private readonly context: MeshContext,
        private readonly store: InstrumentedStore | undefined,
        private readonly versions: VersionExchange,
    ) {
        this.requests = new PendingRequests(context.timers, FLOOR_TIMEOUT_MS);
        this.domainRequests = new PendingRequests(context.timers, REQUEST_TIMEOUT_MS);
    }

    tick(): void {
        if (this.versions.getVersionState().floor === undefined && !this.isSettling) {
            this.isSettling = true;
            void this.settle().finally(() => {
                this.isSettling = false;
            });
        }
    }

    onLinkRemoved(link: Link): void {
        this.requests.cancel(link);
        this.domainRequests.cancel(link);
    }

    private async settle(): Promise<void> {
        const floor = await this.resolveFloor();
        if (floor !== undefined && this.versions.getVersionState().floor === undefined) {
            this.versions.settle(floor);
        }
    }

    private async handleRequest(message: MessageOf<"floorRequest">, link: Link): Promise<void> {
        const floor = message.forwarded ? await this.readStoreFloor() : await this.resolveFloor();
        link.send({ floor, kind: "floorAnswer", request: message.request });
    }

    /** Waits for the first query that starts after this call; concurrent callers share its answer. */
    private resolveFloor(): Promise<number | undefined> {
        const running = this.currentQuery;
        if (running === undefined) {
            return this.startQuery();
        }
        running.next ??= running.ended.then(() => this.startQuery());
        return running.next;
    }

    private startQuery(): Promise<number | undefined> {
        const current = this.findFloor();
        const ended = current.then(() => sleepFor(this.context.timers, FLOOR_QUERY_SPACING_MS));
        const query: FloorQuery = { ended, next: undefined };
        this.currentQuery = query;
        void ended.then(() => {
            if (this.currentQuery === query && query.next === undefined) {
                this.currentQuery = undefined;
            }
        });
        return current;
    }

    private async findFloor(): Promise<number | undefined> {
        const position = this.context.getPosition();
        const parent = this.context.links.getParent();
        // The parent of a new region relay may be its descendant in the new tree, so it is not asked.
        const upstreamFloor = position.isRegionRelay || parent === undefined
            ? await this.findFloorAsRoot(position.isRegionRelay)
            : await this.requestFloorFrom(parent, false);
        return upstreamFloor ?? (position.isDomainRelay ? this.collectDomainFloors() : undefined);
    }

    private async findFloorAsRoot(isRegionRelay: boolean): Promise<number | undefined> {
        if (!isRegionRelay) {
            return undefined;
        }
        const own = await this.readStoreFloor();
        if (own !== undefined) {
            return own;
        }
        const relays = this.context.links.listByRelation("relay");
        const answers = await Promise.all(relays.map(link => this.requestFloorFrom(link, true)));
        return findMaximum(answers.filter(answer => answer !== undefined));
    }

    private requestFloorFrom(link: Link, forwarded: boolean): Promise<number | undefined> {
        return this.requests.request(link, request => link.send({ forwarded, kind: "floorRequest", request }));
    }

    /** Returns the version of the store's head: 0 if there is no head yet, undefined if it could not be read. */
    private async readStoreFloor(): Promise<number | undefined> {
        if (this.store === undefined) {
            return undefined;
        }
        const result = await withTimeout(this.context.timers, REQUEST_TIMEOUT_MS, this.store.readHead());
        return result?.caseOf({
            Left: () => undefined,
            Right: stored => stored === undefined ? 0 : parseHead(stored.value)?.version,
        });
    }

    /** Returns the highest version of all other failure domains, or undefined if one of them did not answer. */
    private async collectDomainFloors(): Promise<number | undefined> {
        const own = this.context.options.failureDomain;
        const answers = new Map<string, DomainFloor>();
        for (let missing = this.listPresentDomains(); missing.length > 0;) {
            const found = await Promise.all(missing.map(domain => this.requestDomainFloor(domain)));
            if (found.some(answer => answer === undefined)) {
                return undefined;
            }
            missing.forEach((domain, index) => answers.set(domain, found[index] as DomainFloor));
            const known = [...answers.values()].flatMap(answer => answer.domains);
            missing = [...new Set(known)].filter(domain => domain !== own && !answers.has(domain));
        }
        return findMaximum([...answers.values()].map(answer => answer.version));
    }

    private listPresentDomains(): readonly string[] {
        const { options, table } = this.context;
        return table.listDomains().filter(domain =>
            domain !== options.failureDomain && table.listRankedIds(domain).length > 0
        );
    }

    private async requestDomainFloor(domain: string): Promise<DomainFloor | undefined> {
        const { table } = this.context;
        for (const id of table.listRankedIds(domain).slice(0, MEMBERS_TO_QUERY)) {
            const member = table.get(id);
            const link = member === undefined ? undefined : await this.context.dial(member, LinkRole.Query);
            const answer = link === undefined
                ? undefined
                : await this.domainRequests.request(
                    link,
                    request => link.send({ kind: "domainFloorRequest", request }),
                );
            link?.close();
            if (answer?.isSettledRelay === true) {
                return answer;
            }
        }
        return undefined;
    }

    private handleDomainRequest(message: MessageOf<"domainFloorRequest">, link: Link): void {
        const versionState = this.versions.getVersionState();
        const { isDomainRelay } = this.context.getPosition();
        link.send({
            domains: [...this.listPresentDomains(), this.context.options.failureDomain],
            isSettledRelay: isDomainRelay && versionState.floor !== undefined,
            kind: "domainFloorAnswer",
            request: message.request,
            version: Math.max(getReceivedVersion(versionState), versionState.floor ?? 0, versionState.released),
        });
    }
}

function findMaximum(values: readonly number[]): number | undefined {
    return values.length === 0 ? undefined : Math.max(...values);
}
