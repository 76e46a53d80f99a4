import { ServerAdmission } from "../../coordination/admission/index.js";

import type { LeaseRequest } from "../../coordination/leases/index.js";
import { LEASE_DURATION_MS, LeaseGrants } from "../../coordination/leases/index.js";
import type { LoadReport } from "../../protocol/request/index.js";
import type { ServiceSettings } from "../../state/document/index.js";
import { MemberState } from "../../state/members/index.js";
import type { ServerRecord } from "../../state/members/index.js";
import type { ReadMeshView } from "../../state/view/index.js";

const DEFAULT_QUEUE_LENGTH = 0;

/** Slots, queue and granted leases of the local backend server. */
export class OwnServer {
    readonly #selfId: string;
    readonly #readView: ReadMeshView;
    readonly #admission: ServerAdmission;
    readonly #grants: LeaseGrants;
    #stateOverride: MemberState | undefined;
    #isHealthy = true;
    #lastResultAt = Number.NEGATIVE_INFINITY;

    constructor(selfId: string, readView: ReadMeshView, startedAt: number) {
        this.#selfId = selfId;
        this.#readView = readView;
        this.#grants = new LeaseGrants(startedAt);
        this.#admission = new ServerAdmission(now => ({
            slots: this.#grants.countOwnSlots(this.readRecord()?.slots ?? 0, now),
            queueLength: this.readSettings()?.queue.length ?? DEFAULT_QUEUE_LENGTH,
        }));
    }

    get admission(): ServerAdmission {
        return this.#admission;
    }

    /** Time of the last request that showed the server's state. */
    get lastResultAt(): number {
        return this.#lastResultAt;
    }

    readRecord(): ServerRecord | undefined {
        return this.#readView().members.get(this.#selfId)?.server;
    }

    readSettings(): ServiceSettings | undefined {
        const service = this.readRecord()?.service;
        return service === undefined ? undefined : this.#readView().configuration?.document.services[service];
    }

    /** Sets the state that decides on new requests; it takes precedence over the state in the member record. */
    setState(state: MemberState): void {
        this.#stateOverride = state;
    }

    /** Whether new requests are accepted; false until the daemon has a configuration in force. */
    isAccepting(): boolean {
        const view = this.#readView();
        const state = this.#stateOverride ?? view.members.get(this.#selfId)?.state;
        return state === MemberState.Live && view.configuration !== undefined;
    }

    /** Records the result of a request; a success clears a failed health check, since it shows more than a probe. */
    recordResult(now: number, isSuccess: boolean): void {
        this.#lastResultAt = now;
        this.#isHealthy ||= isSuccess;
    }

    setHealthy(isHealthy: boolean): void {
        this.#isHealthy = isHealthy;
    }

    /** Renews a holder's lease and returns the number of granted slots. */
    renewLease(
        request: LeaseRequest,
        now: number,
    ): number {
        const granted = this.#grants.renew(request, {
            serverSlots: this.readRecord()?.slots ?? 0,
            ownRunning: this.#admission.running,
            ownQueued: this.#admission.queued,
            isLeasable: this.isAccepting(),
            longestRequestMs: this.#readLongestRequestMs(),
        }, now);
        this.#admission.dispatch(now);
        return granted;
    }

    readLoad(now: number): LoadReport {
        const slots = this.readRecord()?.slots ?? 0;
        return {
            used: Math.min(slots, this.#admission.running + this.#grants.countHeldSlots(now)),
            slots,
            queued: this.#admission.queued,
            healthy: this.#isHealthy,
        };
    }

    #readLongestRequestMs(): number {
        const view = this.#readView();
        const service = this.readRecord()?.service;
        let longest = LEASE_DURATION_MS;
        for (const route of Object.values(view.configuration?.document.routes ?? {})) {
            if (route.service === service) {
                longest = Math.max(longest, route.timeoutMs);
            }
        }
        return longest;
    }
}
