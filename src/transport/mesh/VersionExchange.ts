import { Either, Left } from "purify-ts/Either";
import {
    addSnapshot,
    advanceInForce,
    EMPTY_VERSION_STATE,
    findMissingDependencies,
    getNewestSnapshot,
    getReceivedVersion,
    raiseFloor,
    raiseReleased,
} from "../../coordination/distribution/index.js";
import type { Preparation, VersionState } from "../../coordination/distribution/index.js";
import { encodeMessage } from "../../protocol/peer/index.js";
import type { MessageOf } from "../../protocol/peer/index.js";
import { resolveResources } from "../../state/document/index.js";
import { applyDelta, computeDeltaToNewest, verifyManifest } from "../../state/versions/index.js";
import type { Head, Manifest, Resource, Snapshot, SnapshotHistory, VersionDelta } from "../../state/versions/index.js";
import type { Link } from "./Link.js";
import type { MeshComponent, MeshContext, MessageHandlers } from "./MeshContext.js";

/** Maximum content in one message of an update, before compression. */
const CONTENT_CHARACTERS_PER_MESSAGE = 512 * 1_024;
/** Time after which an unacknowledged update is sent again. */
const RESEND_AFTER_MS = 2_000;
/** Number of updates that fail verification after which a link is closed. */
const FAILED_UPDATES_LIMIT = 3;

type Update = MessageOf<"update">;
type ResourceChanges = Pick<VersionDelta, "changed" | "removed">;

/** Distributes versions over the tree, and puts them in force when the version state allows it. */
export class VersionExchange implements MeshComponent {
    readonly handlers: MessageHandlers = {
        have: (message, link) => this.handleHave(message, link),
        release: (message, link) => this.release(message.version, message.witnessed, link),
        update: (message, link) => this.handleUpdate(message, link),
    };
    private versionState: VersionState = EMPTY_VERSION_STATE;
    private newestStoreVersion = 0;
    private readonly partialUpdates = new WeakMap<Link, Update[]>();
    private encodedUpdates:
        | { readonly manifestKey: string; readonly byRoot: Map<string, readonly Uint8Array[]>; }
        | undefined;

    constructor(
        private readonly context: MeshContext,
        private readonly callbacks: {
            /** Called when a version was received, acknowledged by a peer, released or put in force. */
            onChanged(): void;
        },
    ) {}

    getVersionState(): VersionState {
        return this.versionState;
    }

    onLinkAdded(link: Link): void {
        if (link.isTreeLink) {
            this.sendHave(link, link.relation === "parent");
            this.sendRelease(link);
        }
    }

    tick(): void {
        const received = getReceivedVersion(this.versionState);
        const now = this.context.now();
        for (const link of this.context.links.listByRelation("child")) {
            const isOverdue = link.sentVersion > link.heldVersion && now - link.sentVersionAt > RESEND_AFTER_MS;
            if (isOverdue && link.heldVersion < received) {
                this.sendUpdate(link);
            }
        }
    }

    /** Whether this daemon read the version from the store itself. */
    isFromStore(version: number): boolean {
        return version <= this.newestStoreVersion;
    }

    /** Records that the store's head names a version that this daemon already holds. */
    confirmFromStore(head: Head): void {
        if (getNewestSnapshot(this.versionState)?.manifestKey === head.manifest) {
            this.newestStoreVersion = Math.max(this.newestStoreVersion, head.version);
        }
    }

    /** Accepts a version that was read from the store. */
    acceptFromStore(snapshot: Snapshot): void {
        this.newestStoreVersion = Math.max(this.newestStoreVersion, snapshot.manifest.version);
        this.accept(snapshot, undefined);
    }

    /** Accepts a complete, verified version and distributes it. */
    accept(snapshot: Snapshot, source: Link | undefined): void {
        if (snapshot.manifest.version <= getReceivedVersion(this.versionState)) {
            return;
        }
        this.versionState = addSnapshot(this.versionState, snapshot);
        for (const link of this.context.links.listTreeLinks()) {
            if (link.relation === "child" && link !== source && link.heldVersion < snapshot.manifest.version) {
                this.sendUpdate(link);
            }
            else {
                this.sendHave(link, false);
            }
        }
        if (source !== undefined && !source.isTreeLink) {
            this.sendHave(source, false);
        }
        this.advance();
    }

    /** Raises the released version and forwards it. */
    release(version: number, isWitnessed: boolean, source: Link | undefined): void {
        if (version <= this.versionState.released) {
            return;
        }
        this.versionState = raiseReleased(this.versionState, version, isWitnessed);
        this.context.links.listTreeLinks().filter(link => link !== source).forEach(link => this.sendRelease(link));
        this.advance();
    }

    settle(floor: number): void {
        this.versionState = raiseFloor(this.versionState, floor);
        this.context.options.log.info({ floor }, "mesh: settled.");
        this.advance();
    }

    /** Puts the newest usable version in force; called again, for example, after a service was announced. */
    advance(): void {
        const before = this.versionState;
        this.versionState = advanceInForce(before, snapshot => this.prepare(snapshot));
        const { inForce, waiting } = this.versionState;
        if (inForce !== undefined && inForce !== before.inForce) {
            this.context.options.log.info({ root: inForce.root, version: inForce.version }, "mesh: version in force.");
        }
        if (waiting.length > 0 && waiting.join() !== before.waiting.join()) {
            this.context.options.log.warn({ waiting }, "mesh: version held back.");
        }
        this.callbacks.onChanged();
    }

    /** Requests a newer version if the peer's digest shows one. */
    compareVersion(version: number, released: number, link: Link): void {
        if (version > getReceivedVersion(this.versionState)) {
            this.sendHave(link, true);
        }
        this.release(released, true, link);
    }

    sendHave(link: Link, wants: boolean): void {
        const newest = getNewestSnapshot(this.versionState);
        link.send({ kind: "have", root: newest?.manifest.root ?? "", version: newest?.manifest.version ?? 0, wants });
    }

    private sendRelease(link: Link): void {
        if (this.versionState.released > 0) {
            link.send({
                kind: "release",
                version: this.versionState.released,
                witnessed: this.versionState.isWitnessed,
            });
        }
    }

    private handleHave(message: MessageOf<"have">, link: Link): void {
        link.heldVersion = message.version;
        link.heldRoot = message.root;
        const received = getReceivedVersion(this.versionState);
        if (message.wants && message.version < received) {
            this.sendUpdate(link);
        }
        else if (message.version > received && this.shouldRequest(link)) {
            this.sendHave(link, true);
        }
        this.callbacks.onChanged();
    }

    /** A parent sends updates on its own; from other peers a daemon requests what it lacks. */
    private shouldRequest(link: Link): boolean {
        return link.relation !== "parent";
    }

    private prepare(snapshot: Snapshot): Preparation {
        const { failureDomain } = this.context.options;
        const resolved = Either.encase(() => resolveResources(snapshot.resources.values()));
        return resolved.caseOf<Preparation>({
            Left: error => ({
                kind: "waiting",
                reasons: [`${failureDomain}: version cannot be used: ${error.message}`],
            }),
            Right: document => {
                const missing = findMissingDependencies(
                    document,
                    failureDomain,
                    service => this.context.table.hasService(service),
                );
                return missing.length === 0 ? { document, kind: "ready" } : { kind: "waiting", reasons: missing };
            },
        });
    }

    private sendUpdate(link: Link): void {
        const { history } = this.versionState;
        if (history === undefined) {
            return;
        }
        link.sentVersion = history.newest.manifest.version;
        link.sentVersionAt = this.context.now();
        this.encodeUpdate(history, link.heldRoot).forEach(frame => link.sendFrame(frame));
    }

    /** Encodes an update once for all receivers that hold the same root. */
    private encodeUpdate(history: SnapshotHistory, heldRoot: string): readonly Uint8Array[] {
        const { manifestKey } = history.newest;
        if (this.encodedUpdates?.manifestKey !== manifestKey) {
            this.encodedUpdates = { byRoot: new Map(), manifestKey };
        }
        const cached = this.encodedUpdates.byRoot.get(heldRoot);
        if (cached !== undefined) {
            return cached;
        }
        const delta = computeDeltaToNewest(history, heldRoot) ?? createFullDelta(history.newest);
        const frames = splitUpdate(history.newest, delta).map(encodeMessage);
        this.encodedUpdates.byRoot.set(heldRoot, frames);
        return frames;
    }

    private handleUpdate(message: Update, link: Link): void {
        const complete = this.collectParts(message, link);
        if (complete === undefined || message.manifest.version <= getReceivedVersion(this.versionState)) {
            return;
        }
        if (message.fromRoot !== "" && message.fromRoot !== getNewestSnapshot(this.versionState)?.manifest.root) {
            this.sendHave(link, true);
            return;
        }
        this.buildSnapshot(message, complete)
            .ifRight(snapshot => this.accept(snapshot, link))
            .ifLeft(error => this.rejectUpdate(message, error, link));
    }

    /** Applies the update to a copy and verifies content hashes, root and MAC. */
    private buildSnapshot(message: Update, changes: ResourceChanges): Either<string, Snapshot> {
        const manifest: Manifest = { ...message.manifest, previous: message.manifest.previous ?? null };
        if (!verifyManifest(manifest, this.context.options.meshKey)) {
            return Left("the manifest is not signed with the mesh key");
        }
        const base = message.fromRoot === ""
            ? new Map<string, Resource>()
            : getNewestSnapshot(this.versionState)?.resources;
        const delta = { ...changes, fromRoot: message.fromRoot, toRoot: manifest.root };
        return applyDelta(base ?? new Map<string, Resource>(), message.fromRoot, delta)
            .map(resources => ({ manifest, manifestKey: message.manifestKey, resources }))
            .mapLeft(mismatch => mismatch.detail);
    }

    private rejectUpdate(message: Update, error: string, link: Link): void {
        link.failedUpdates++;
        const fields = { error, peer: link.id, version: message.manifest.version };
        this.context.options.log.warn(fields, "mesh: update dropped.");
        if (link.failedUpdates >= FAILED_UPDATES_LIMIT) {
            link.close();
            return;
        }
        this.sendHave(link, true);
    }

    /** Collects the messages of one update; returns undefined until it is complete. */
    private collectParts(message: Update, link: Link): ResourceChanges | undefined {
        const held = message.part === 0 ? [] : this.partialUpdates.get(link) ?? [];
        const isNext = held.length === message.part
            && held.every(part => part.manifest.root === message.manifest.root && part.fromRoot === message.fromRoot);
        const parts = isNext ? [...held, message] : [];
        this.partialUpdates.set(link, parts);
        if (parts.length === 0 || parts.length < message.parts) {
            return undefined;
        }
        this.partialUpdates.delete(link);
        return { changed: parts.flatMap(part => part.changed), removed: parts.flatMap(part => part.removed) };
    }
}

function splitBySize(resources: readonly Resource[]): readonly (readonly Resource[])[] {
    const groups: Resource[][] = [[]];
    let size = 0;
    for (const resource of resources) {
        size += resource.content.length + resource.name.length;
        if (size > CONTENT_CHARACTERS_PER_MESSAGE && groups.at(-1)?.length !== 0) {
            groups.push([]);
            size = resource.content.length;
        }
        groups.at(-1)?.push(resource);
    }
    return groups;
}

/** Creates a delta with the full content of a version, for a receiver whose version is not in the history. */
function createFullDelta(snapshot: Snapshot): VersionDelta {
    return { changed: [...snapshot.resources.values()], fromRoot: "", removed: [], toRoot: snapshot.manifest.root };
}

function splitUpdate(newest: Snapshot, delta: VersionDelta): readonly Update[] {
    const groups = splitBySize(delta.changed);
    const { author, mac, message, parts, previous, root, time, version } = newest.manifest;
    return groups.map((group, part): Update => ({
        changed: group,
        fromRoot: delta.fromRoot,
        kind: "update",
        manifest: { author, mac, message, parts, previous: previous ?? undefined, root, time, version },
        manifestKey: newest.manifestKey,
        part,
        parts: groups.length,
        removed: part === 0 ? delta.removed : [],
    }));
}
