/** Configuration port over the store: documents by the same acceptance code as the command line, and status objects. */
import type { Either } from "purify-ts/Either";
import { Right } from "purify-ts/Either";
import type { ApplyOutcome, LoadError, StoreAccess } from "../../../coordination/acceptance/index.js";
import {
    applyDocument,
    describeLoadError,
    loadSnapshot,
    readHead,
    readHistory,
    readVersion,
} from "../../../coordination/acceptance/index.js";
import { formatFinding, joinResources } from "../../../state/document/index.js";
import type { Snapshot } from "../../../state/versions/index.js";
import type {
    AcceptedDocument,
    ConfigurationPort,
    ProposalResult,
    ReadFailure,
    ReadResult,
    ReportedStatus,
} from "./ConfigurationPort.js";
import { parseRegionStatus } from "./RegionStatusParser.js";

/** Key prefix of the status objects, which relays write, one for each region. */
const STATUS_PREFIX = "status/";

export interface StoreConfigurationOptions extends StoreAccess {
    readonly meshKey: string;
    readonly now: () => number;
}

function toAcceptedDocument({ manifest, resources }: Snapshot): AcceptedDocument {
    const { author, message, root, time, version } = manifest;
    return { author, document: joinResources(resources.values()), message, root, time, version };
}

function toReadFailure(error: LoadError): ReadFailure {
    return { detail: describeLoadError(error) };
}

function toProposalResult(outcome: ApplyOutcome): ProposalResult {
    switch (outcome.kind) {
        case "accepted":
        case "unchanged":
            return { kind: outcome.kind, version: outcome.version.version };
        case "refused":
            return { detail: outcome.findings.map(formatFinding).join(" "), kind: "refused" };
        case "failed":
            return { detail: outcome.detail, kind: "refused" };
        case "unknown":
            return { detail: outcome.detail, kind: "unknown" };
        case "conflict":
            return { kind: "conflict" };
    }
}

/** Creates the port. The current version is cached, so that refreshing the convergence page reads only the small head. */
export function createStoreConfiguration(options: StoreConfigurationOptions): ConfigurationPort {
    const { meshKey, now, store } = options;
    let cached: { readonly snapshot: Snapshot; readonly accepted: AcceptedDocument; } | undefined;

    async function readCurrent(): Promise<Either<ReadFailure, AcceptedDocument | undefined>> {
        const head = await readHead(key => store.get(key));
        const stored = head.orDefault(undefined);
        if (stored === undefined) {
            return head.bimap(toReadFailure, () => undefined);
        }
        if (cached?.snapshot.manifestKey !== stored.head.manifest) {
            const loaded = await loadSnapshot(store, stored.head, cached?.snapshot, meshKey);
            if (loaded.isLeft()) {
                return loaded.bimap(toReadFailure, () => undefined);
            }
            const snapshot = loaded.unsafeCoerce();
            cached = { accepted: toAcceptedDocument(snapshot), snapshot };
        }
        return Right(cached.accepted);
    }

    async function readRegionStatus(region: string): ReadResult<readonly ReportedStatus[]> {
        const found = await store.get(STATUS_PREFIX + region);
        return found.bimap(
            error => ({ detail: error.detail }),
            object => {
                const status = object === undefined ? undefined : parseRegionStatus(object.value);
                return status === undefined ? [] : [{ region, status }];
            },
        );
    }

    return {
        propose: async ({ author, baseVersion, document, message }) => {
            const request = { author, ifVersion: baseVersion, message, now: now(), source: document };
            return toProposalResult(await applyDocument({ ...options, ...request }));
        },
        readCurrent,
        readHistory: async limit => (await readHistory(options, limit, meshKey)).mapLeft(toReadFailure),
        readStatus: async regions => {
            const read = await Promise.all(regions.map(readRegionStatus));
            const failure = read.find(status => status.isLeft());
            return failure ?? Right(read.flatMap(status => status.orDefault([])));
        },
        readVersion: async version => {
            if (!Number.isSafeInteger(version) || version < 1) {
                return Right(undefined);
            }
            const read = await readVersion(options, version, meshKey);
            return read.bimap(
                toReadFailure,
                snapshot => snapshot === undefined ? undefined : toAcceptedDocument(snapshot),
            );
        },
    };
}
