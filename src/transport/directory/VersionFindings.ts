/** Reports the entries of versions that are faulty and not in force, once for each version. */
import type { TrafficConfiguration } from "../../state/traffic/index.js";
import type { PartLogger } from "../logging/index.js";

/** Findings that one log line lists; the rest is counted. */
const MAXIMUM_LISTED = 50;

export class VersionFindings {
    readonly #log: PartLogger;
    #reported = 0;

    constructor(log: PartLogger) {
        this.#log = log;
    }

    /** Findings of all versions since the start. */
    get count(): number {
        return this.#reported;
    }

    record({ findings = [], revision, version }: TrafficConfiguration): void {
        if (findings.length === 0) {
            return;
        }
        this.#reported += findings.length;
        this.#log.error(`version ${version} has faulty entries, which are not in force.`, {
            count: findings.length,
            findings: findings.slice(0, MAXIMUM_LISTED),
            revision,
            version,
        });
    }
}
