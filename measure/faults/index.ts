import { formatClaimCost, measureClaimCost } from "./ClaimCost.js";

/** Measures the policy of the request path under failures, or with `--claims` the store's load by claims. */
export async function runMeasurement(args: readonly string[]): Promise<number> {
    if (args.includes("--claims")) {
        process.stdout.write(`${formatClaimCost(await measureClaimCost())}\n`);
        return 0;
    }
    return 2;
}
