import type { PhaseFigures } from "./FaultReport.js";
import type { PolicyName } from "./Policies.js";

import { createSeededRandom } from "../../src/state/shared/index.js";
import { formatClaimCost, measureClaimCost } from "./ClaimCost.js";
import { sleep } from "./CountingStore.js";
import { FAULT_PHASES, PHASE_MS } from "./FaultPhases.js";
import { formatFigures, summarizePhase } from "./FaultReport.js";
import { startMeasuredMesh } from "./MeasuredMesh.js";
import { createOpenLoopLoad } from "./OpenLoopLoad.js";
import { isPolicyName, POLICIES } from "./Policies.js";

const SEED = 11;

/** Duration of the warm-up load before the first phase, and of the pause after each restore. */
const SETTLE_MS = 800;
const WARM_UP_RATE = 50;

const USAGE = `measure faults [--claims | --policies NAME,…]  policies: ${Object.keys(POLICIES).join(", ")}`;

/** Measures policies of the request path under faults or, with `--claims`, the store load caused by claims. */
export async function runMeasurement(args: readonly string[]): Promise<number> {
    if (args.includes("--claims")) {
        print(formatClaimCost(await measureClaimCost()));
        return 0;
    }
    const names = args[0] === "--policies" ? (args[1] ?? "").split(",") : ["papayaturn", "baseline"];
    const policies = names.filter(isPolicyName);
    if (policies.length !== names.length || (args.length > 0 && args[0] !== "--policies")) {
        print(USAGE);
        return 2;
    }
    for (const policy of policies) {
        print(formatFigures(policy, await measurePolicy(policy)));
    }
    return 0;
}

/** Runs the whole schedule under one policy; every policy gets the same load and faults. */
async function measurePolicy(policy: PolicyName): Promise<readonly PhaseFigures[]> {
    const mesh = await startMeasuredMesh(policy, SEED);
    const load = createOpenLoopLoad(createSeededRandom(SEED), createSeededRandom(SEED + 1));
    await load.run(WARM_UP_RATE, SETTLE_MS, mesh.listEntryPorts);
    const figures: PhaseFigures[] = [];
    for (const phase of FAULT_PHASES) {
        const before = mesh.readCounts();
        const [results] = await Promise.all([
            load.run(phase.rate, PHASE_MS, mesh.listEntryPorts),
            phase.inject(mesh),
        ]);
        figures.push(summarizePhase(phase.name, results, PHASE_MS, mesh, before));
        await mesh.restore();
        await sleep(SETTLE_MS);
    }
    await Promise.all([load.stop(), mesh.stop()]);
    return figures;
}

function print(text: string): void {
    process.stdout.write(`${text}\n`);
}
