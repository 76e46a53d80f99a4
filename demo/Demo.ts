/**
 * `npm run demo [-- --mesh lakeshore|marshals] [--json] [--keep] [--seed N]`: runs a whole mesh on
 * loopback through configuration changes, a drain and a crash, and checks each guarantee. Exits
 * with 1 when a guarantee is violated.
 */
import type { ArgsDef } from "citty";
import { defineCommand, runMain } from "citty";
import { readFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import type { MeshDocument } from "../src/state/document/index.js";
import { parseDocument, resolveDocument } from "../src/state/document/index.js";
import { ChildProcesses } from "./ChildProcesses.js";
import { DaemonClient } from "./DaemonClient.js";
import { planLayout } from "./DemoLayout.js";
import type { DemoSecrets } from "./DemoMesh.js";
import { DemoMesh, generateSecrets } from "./DemoMesh.js";
import type { DemoFigures } from "./DemoReport.js";
import { renderReport } from "./DemoReport.js";
import type { ScenarioResult } from "./DemoScenario.js";
import { DemoScenario } from "./DemoScenario.js";
import { selectFreePorts } from "./FreePorts.js";
import { checkGuarantees, collectKeysRunTwice, isAnswered, isAsExpected } from "./GuaranteeChecks.js";

const MESHES = ["lakeshore", "marshals"];
const INTERRUPTED_EXIT_CODE = 130;

const FLAGS = {
    json: { description: "print the figures as one JSON object", type: "boolean" },
    keep: { description: "leave the mesh running until Ctrl-C", type: "boolean" },
    mesh: { default: "lakeshore", description: MESHES.join(" or "), type: "string" },
    seed: { default: "1", description: "seed of the requests", type: "string" },
} as const satisfies ArgsDef;

function readExample(mesh: string): Promise<string> {
    if (!MESHES.includes(mesh)) {
        throw new RangeError(`--mesh must be one of ${MESHES.join(", ")}, not "${mesh}".`);
    }
    return readFile(fileURLToPath(new URL(`../../examples/${mesh}.yaml`, import.meta.url)), "utf8");
}

function parseExample(text: string): MeshDocument {
    const source = parseDocument(text).mapLeft(findings =>
        new Error(findings.map(({ message }) => message).join("\n"))
    );
    return resolveDocument(source.unsafeCoerce());
}

function computeFigures({ controlBytes, convergenceMs, observations }: ScenarioResult): DemoFigures {
    const reached = convergenceMs.filter(time => time !== undefined);
    const answered = observations.results.filter(isAnswered).length;
    return {
        control_bytes: controlBytes.total,
        convergence_ms: reached.length === convergenceMs.length ? Math.max(...reached) : null,
        cross_region_bytes: controlBytes.crossRegion,
        ran_twice: collectKeysRunTwice(observations.executions).length,
        requests_failed: observations.results.filter(result => !isAsExpected(result)).length,
        requests_ok: answered,
    };
}

function countFailures({ observations }: ScenarioResult): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const result of observations.results.filter(failed => !isAsExpected(failed))) {
        const kind = result.failure ?? `${result.status ?? ""} ${result.outcome ?? ""}`;
        counts[kind] = (counts[kind] ?? 0) + 1;
    }
    return counts;
}

/** Prints the result and returns whether every guarantee held. */
function printResult(result: ScenarioResult, title: string, json: boolean): boolean {
    const checks = checkGuarantees(result.observations);
    const figures = computeFigures(result);
    const report = renderReport(title, figures, countFailures(result), checks);
    (json ? process.stderr : process.stdout).write(`\n${report}`);
    if (json) {
        process.stdout.write(`${JSON.stringify(figures)}\n`);
    }
    return checks.every(check => check.violations.length === 0);
}

function printAddresses(mesh: DemoMesh, secrets: DemoSecrets): void {
    const lines = mesh.nodes.map(node =>
        `  ${node.id} (${node.service}): requests http://127.0.0.1:${node.requestPort}, `
        + `control http://127.0.0.1:${node.controlPort}`
    );
    process.stdout.write(
        `${lines.join("\n")}\n\nSettings for the command line and the console:\n`
            + `export PAPAYATURN_STORE_URL=${mesh.storeUrl}\n`
            + `export PAPAYATURN_MESH_KEY=${secrets.meshKey}\n`
            + `export PAPAYATURN_TOKEN=${secrets.token}\n\nCtrl-C ends the demo.\n`,
    );
}

interface DemoArguments {
    readonly json: boolean;
    readonly keep: boolean;
    readonly mesh: string;
    readonly seed: number;
}

async function runDemo({ json, keep, mesh: name, seed }: DemoArguments): Promise<number> {
    const text = await readExample(name);
    const layout = await planLayout(parseExample(text), selectFreePorts);
    const processes = new ChildProcesses();
    const interrupted = new Promise<undefined>(resolve => {
        for (const signal of ["SIGINT", "SIGTERM"] as const) {
            process.on(signal, () => {
                resolve(undefined);
            });
        }
    });
    const secrets = generateSecrets();
    const mesh = new DemoMesh(layout, secrets, processes, seed);
    const scenario = new DemoScenario({
        client: new DaemonClient(secrets.token),
        layout,
        mesh,
        print: line => process.stderr.write(`${line}\n`),
        seed,
        text,
    });
    try {
        const running = scenario.run();
        // After an interruption the scenario rejects, because its processes are stopped.
        running.catch(() => undefined);
        const result = await Promise.race([running, interrupted]);
        if (result === undefined) {
            return INTERRUPTED_EXIT_CODE;
        }
        const kept = printResult(result, `Mesh ${name}, ${layout.nodes.length} daemons`, json);
        if (keep) {
            printAddresses(mesh, secrets);
            await interrupted;
        }
        return kept ? 0 : 1;
    }
    finally {
        await processes.stopAll();
    }
}

const command = defineCommand({
    args: FLAGS,
    meta: { description: "Runs a whole mesh on loopback and checks its guarantees.", name: "demo" },
    run: async ({ args }) => {
        const { json = false, keep = false, mesh, seed } = args;
        process.exit(await runDemo({ json, keep, mesh, seed: Number(seed) }));
    },
});

await runMain(command);
