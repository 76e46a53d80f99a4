import type {
    ClaimManager,
    HandleForwardedOperation,
    SendClaim,
    ShardCommitter,
} from "../../src/coordination/claims/index.js";
import type { Member } from "../../src/state/members/index.js";
import type { MeshView } from "../../src/state/view/index.js";
import type { CountingStore, StoreCounts } from "./CountingStore.js";

import {
    createClaimManager,
    createForwardedOperationHandler,
    createForwardingCommitter,
    createHolderSelector,
    decodeCommitResult,
    decodeForwardedOperation,
    encodeCommitResult,
    encodeForwardedOperation,
} from "../../src/coordination/claims/index.js";
import { createSeededRandom, invariant } from "../../src/state/shared/index.js";
import { createCountingStore, sleep } from "./CountingStore.js";
import { createMeasuredDocument } from "./MeasuredDocument.js";

const OWNERS = 40;
const SHARDS = 32;
const RATES = [100, 400, 1_600];
const DURATION_MS = 5_000;
const WARM_UP_MS = 1_000;
const STORE_LATENCY_MS = 3;
const HOP_LATENCY_MS = 1;
const EXECUTION_MS = 20;
const DEADLINE_MS = 3_000;
const ANSWER_BYTES = 200;
const SEED = 7;
const MS_PER_S = 1_000;

/** Figures of one committer at one rate of keyed requests. */
export interface ClaimCostRow {
    readonly committer: "direct" | "holder";
    readonly rate: number;
    readonly writesPerSecond: number;
    readonly conflictsPerSecond: number;
    readonly readsPerSecond: number;
    readonly writtenBytesPerSecond: number;
    readonly claimMs: { readonly p50: number; readonly p99: number; };
    readonly granted: number;
    readonly refused: number;
}

/** Measures the store load caused by keyed requests of many owners, with and without shard holders. */
export async function measureClaimCost(): Promise<readonly ClaimCostRow[]> {
    const rows: ClaimCostRow[] = [];
    for (const committer of ["direct", "holder"] as const) {
        for (const rate of RATES) {
            rows.push(await measureRate(committer, rate));
        }
    }
    return rows;
}

async function measureRate(committer: "direct" | "holder", rate: number): Promise<ClaimCostRow> {
    const store = createCountingStore(STORE_LATENCY_MS);
    const claimManagers = createClaimManagers(store, committer === "holder");
    const random = createSeededRandom(SEED);
    const latencies: number[] = [];
    const requests: Promise<boolean>[] = [];
    let before: StoreCounts | undefined;
    const startedAt = performance.now();
    let due = 0;
    for (let index = 0; due < WARM_UP_MS + DURATION_MS; index += 1) {
        due += -Math.log(1 - random()) * MS_PER_S / rate;
        const pauseMs = startedAt + due - performance.now();
        if (pauseMs > 1) {
            await sleep(pauseMs);
        }
        if (due > WARM_UP_MS && before === undefined) {
            before = store.readCounts();
        }
        const claimManager = claimManagers[Math.floor(random() * OWNERS)];
        invariant(claimManager, "the index is below the number of owners");
        requests.push(runKeyedRequest(claimManager, `key-${index}`, latencies));
    }
    const after = store.readCounts();
    const elapsedS = (performance.now() - startedAt - WARM_UP_MS) / MS_PER_S;
    const results = await Promise.all(requests);
    claimManagers.forEach(claimManager => claimManager.stop());
    invariant(before, "the warm-up has ended");
    const granted = results.filter(isGranted => isGranted).length;
    return {
        committer,
        rate,
        ...computeRates(before, after, elapsedS),
        claimMs: { p50: computePercentile(latencies, 0.5), p99: computePercentile(latencies, 0.99) },
        granted,
        refused: results.length - granted,
    };
}

async function runKeyedRequest(claimManager: ClaimManager, key: string, latencies: number[]): Promise<boolean> {
    const startedAt = performance.now();
    const outcome = await claimManager.claim("ledger", key, startedAt + DEADLINE_MS);
    if (outcome.kind !== "granted") {
        return false;
    }
    latencies.push(performance.now() - startedAt);
    await sleep(EXECUTION_MS);
    void claimManager.complete("ledger", key, outcome.attempt, {
        status: 201,
        headers: [["content-type", "application/json"]],
        body: Buffer.alloc(ANSWER_BYTES, "x"),
    });
    return true;
}

function createClaimManagers(store: CountingStore, useHolder: boolean): readonly ClaimManager[] {
    const members = Array.from({ length: OWNERS }, (_, index) => createMember(`erie-a-${index + 1}`));
    const selectHolders = createHolderSelector(createReadView(members));
    const handlers = new Map<string, HandleForwardedOperation>();
    const sendClaim = createClaimSender(handlers);
    return members.map(({ id }, index) => {
        const wrapCommitter = (direct: ShardCommitter): ShardCommitter => {
            handlers.set(id, createForwardedOperationHandler(direct, sleep));
            const options = {
                self: id,
                selectHolders,
                sendClaim,
                uptime: () => performance.now(),
                wait: sleep,
            };
            return useHolder ? createForwardingCommitter(direct, options) : direct;
        };
        return createClaimManager({
            store,
            executor: id,
            readSettings: () => ({ shards: SHARDS, retentionMs: 86_400_000, answerBytes: 4_096 }),
            now: () => performance.now(),
            uptime: () => performance.now(),
            wait: sleep,
            random: createSeededRandom(SEED + index),
            wrapCommitter,
        });
    });
}

/** Creates a sender that encodes each operation and delays it by a fixed latency, as the relay port does. */
function createClaimSender(handlers: ReadonlyMap<string, HandleForwardedOperation>): SendClaim {
    return async (holder, request) => {
        await sleep(HOP_LATENCY_MS);
        const handle = handlers.get(holder.id);
        const received = decodeForwardedOperation(encodeForwardedOperation(request)).toMaybe().extract();
        invariant(handle && received, "the holder exists and the message is well-formed");
        const answer = decodeCommitResult(encodeCommitResult(await handle(received))).toMaybe().extract();
        await sleep(HOP_LATENCY_MS);
        invariant(answer, "the answer is well-formed");
        return answer;
    };
}

function createReadView(members: readonly Member[]): () => MeshView {
    const view: MeshView = {
        configuration: { version: 1, root: "root", document: createMeasuredDocument({ isKeyed: true }) },
        members: new Map(members.map(member => [member.id, member])),
        membersByService: new Map(),
        cutOffDomains: new Set(),
    };
    return () => view;
}

function createMember(id: string): Member {
    return {
        id,
        address: "127.0.0.1",
        peerPort: 1,
        relayPort: 1,
        failureDomain: "erie-a",
        region: "erie",
        incarnation: 1,
        revision: 1,
        state: "live",
    };
}

function computeRates(before: StoreCounts, after: StoreCounts, elapsedS: number) {
    return {
        writesPerSecond: (after.writes - before.writes) / elapsedS,
        conflictsPerSecond: (after.conflicts - before.conflicts) / elapsedS,
        readsPerSecond: (after.reads - before.reads) / elapsedS,
        writtenBytesPerSecond: (after.writtenBytes - before.writtenBytes) / elapsedS,
    };
}

/** Returns the value below which the given share of the values lies; 0 if there are none. */
export function computePercentile(values: readonly number[], share: number): number {
    const sorted = values.toSorted((first, second) => first - second);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Renders the figures as a table. */
export function formatClaimCost(rows: readonly ClaimCostRow[]): string {
    const lines = rows.map(row =>
        [
            row.committer.padEnd(6),
            `${row.rate}/s`.padStart(8),
            row.writesPerSecond.toFixed(0).padStart(10),
            row.conflictsPerSecond.toFixed(0).padStart(11),
            row.readsPerSecond.toFixed(0).padStart(9),
            (row.writtenBytesPerSecond / 1_000).toFixed(0).padStart(9),
            row.claimMs.p50.toFixed(1).padStart(9),
            row.claimMs.p99.toFixed(1).padStart(9),
            String(row.granted).padStart(8),
            String(row.refused).padStart(8),
        ].join(" ")
    );
    const heading = "commit     rate   writes/s conflicts/s   reads/s written kB/s  p50 ms   p99 ms  granted  refused";
    return [`${OWNERS} owners, ${SHARDS} shards, store latency ${STORE_LATENCY_MS} ms`, heading, ...lines].join("\n");
}
