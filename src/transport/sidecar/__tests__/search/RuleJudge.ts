/**
 * Judges what callers and servers of a simulated mesh see by the users' rules of CONFIG, and by those of running once: late
 * versions, decisions that go back, added routes, timeouts, parts of a split, requests that run twice or after a refusal.
 */
import { RequestKind } from "../../../../state/traffic/index.js";
import type { SimulatedVersions } from "./SimulatedVersions.js";
import { parseAddedPath, SLOW_PATH, SPLIT_PATH } from "./SimulatedVersions.js";
import type { RequestOutcome } from "./SimulatedVersions.js";
import { isImpaired } from "./SimulatedVm.js";
import type { SimulatedVm } from "./SimulatedVm.js";

export const Rule = {
    /** A version decides whose successor should be in force. */
    Late: "late",
    /** A daemon decides by an older version than before, within one start. */
    GoingBack: "going back",
    /** Requests of added routes are served less than a quarter as often as others. */
    AddedRoutes: "added routes",
    /** Requests have no final answer half a second after their timeouts. */
    Timeouts: "timeouts",
    /** A part of a split gets another share than its weight's. */
    Split: "split",
    /** No version allows what became of a request. */
    NeverAllowed: "never allowed",
    /** A daemon in touch has no version of its own that should be in force, although it reaches the store. */
    NotInForce: "not in force",
    /** A server runs what the version in force at its own daemon doesn't lead to it. */
    OutdatedRun: "outdated run",
    /** A server runs what other versions than the one that decided lead to it. */
    Misplaced: "misplaced",
    /** A version decides that nobody has confirmed within its lease, although the daemon and the store are sound. */
    Unconfirmed: "unconfirmed",
    /** A request is refused because no version may decide, although the daemon and the store are sound. */
    Undecided: "undecided",
    /** A request is answered with 404 although the daemon knows of a newer version that has its route. */
    Denied: "denied",
    /** A daemon doesn't know another one, although both have reached the store and each other for long. */
    UnknownMember: "unknown member",
    Twice: "twice",
    /** A request ran that was refused as not run. */
    Refused: "refused",
} as const;
export type Rule = (typeof Rule)[keyof typeof Rule];

export interface Violation {
    readonly rule: Rule;
    readonly at: number;
    readonly detail: string;
}

/** A request as its caller has sent it. */
export interface SentRequest {
    readonly id: string;
    readonly path: string;
    readonly sentAt: number;
    readonly caller: SimulatedVm;
    readonly incarnation: number;
    /** Whether the caller's VM has reached other daemons for the stable window. */
    readonly isConnected: boolean;
    /** Whether the caller's time is too short for a renewal of the lease. */
    readonly isUrgent: boolean;
}

interface RequestState {
    readonly request: SentRequest;
    runs: number;
    answeredAt: number | undefined;
    status: number | undefined;
}

interface WrittenVersion {
    readonly version: number;
    readonly acknowledgedAt: number;
}

export interface JudgeOptions {
    readonly deadlineMs: number;
    /** Time after its confirmation for which a version decides. */
    readonly leaseMs: number;
    readonly versions: SimulatedVersions;
    onViolation(violation: Violation): void;
}

const ROLLBACK_SLACK_MS = 250;
const SLOW_ROLLBACK_FACTOR = 8;
const TIMEOUT_SLACK_MS = 500;
const MINIMUM_TIMEOUT_REQUESTS = 8;
const MAXIMUM_UNANSWERED_SHARE = 0.25;
const MINIMUM_ADDED_REQUESTS = 20;
const MINIMUM_ADDED_SHARE = 0.25;
const MINIMUM_SPLIT_REQUESTS = 200;
const MAXIMUM_SPLIT_ERROR = 0.2;
const NOT_FOUND_STATUS = 404;
/** Time in which two daemons that reach the store and each other know of each other. */
const KNOWN_AFTER_MS = 4_000;
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const SUCCESS_STATUS = 200;

export class RuleJudge {
    readonly #options: JudgeOptions;
    readonly #written: WrittenVersion[] = [{ acknowledgedAt: -Infinity, version: 1 }];
    readonly #requests = new Map<string, RequestState>();
    /** Newest versions that have decided, with the times of the runs, by daemon and start. */
    readonly #floors = new Map<string, { readonly at: number; readonly version: number; }[]>();
    /** Runs of `SPLIT_PATH` by version and service, while the version is settled. */
    readonly #splits = new Map<number, Map<string, number>>();
    #handled = 0;
    #longestShare = 0;

    constructor(options: JudgeOptions) {
        this.#options = options;
    }

    /** Requests that ran or were answered with 404. */
    get handled(): number {
        return this.#handled;
    }

    /** Longest time, as a share of the deadline, for which a daemon in touch went on with a version after the next one. */
    get longestShare(): number {
        return this.#longestShare;
    }

    recordVersion(version: number, acknowledgedAt: number): void {
        this.#written.push({ acknowledgedAt, version });
    }

    recordSent(request: SentRequest): void {
        this.#requests.set(request.id, { answeredAt: undefined, request, runs: 0, status: undefined });
    }

    /** Records how long before a decision its version was confirmed; undefined when that isn't known. */
    recordDecision(id: string, confirmedAgeMs: number | undefined, at: number): void {
        const request = this.#requests.get(id)?.request;
        if (request?.caller.hasStore !== true || !this.#isInTouch([request.caller], [request.sentAt, at])) {
            return;
        }
        // The users' rule speaks of the time at which a request is sent, which the answer of another daemon may follow late.
        const ageMs = request.sentAt - (at - (confirmedAgeMs ?? Infinity));
        if (ageMs > this.#options.leaseMs) {
            this.#report(Rule.Unconfirmed, at, request, `its version was confirmed ${ageMs} ms before that`);
        }
    }

    /** Records that a server begins to run a request that `version` has led to it. */
    recordRun(id: string, service: string, version: number, owner: SimulatedVm, at: number): void {
        const state = this.#requests.get(id);
        if (state === undefined) {
            return;
        }
        const { path } = state.request;
        state.runs++;
        const { versions } = this.#options;
        const kind = versions.findRoute(version, path)?.kind;
        if (kind === RequestKind.AtMostOnce && state.runs > 1) {
            this.#report(Rule.Twice, at, state.request, "runs once more");
        }
        if (state.status !== undefined && REFUSAL_STATUSES.has(state.status) && kind === RequestKind.AtMostOnce) {
            this.#report(Rule.Refused, at, state.request, `runs after ${state.status}`);
        }
        const inForce = owner.daemon?.version;
        if (inForce !== undefined && inForce > version && !versions.isAllowed(inForce, path, service)) {
            this.#report(
                Rule.OutdatedRun,
                at,
                state.request,
                `decided by ${version}, ${inForce} is in force at ${owner.id}`,
            );
        }
        this.#judgeOutcome(state.request, service, version, [state.request.caller, owner], at);
        this.#raiseFloor(state.request, version, at);
        if (path.startsWith(SPLIT_PATH)) {
            this.#countSplit(state.request, service, [state.request.caller, owner], at);
        }
    }

    /** Records the answer of the daemon or the server; `version` is the one that decided on a 404. */
    recordAnswer(id: string, status: number, version: number | undefined, at: number): void {
        const state = this.#requests.get(id);
        if (state === undefined || state.answeredAt !== undefined) {
            return;
        }
        state.answeredAt = at;
        state.status = status;
        if (status === NOT_FOUND_STATUS) {
            this.#judgeDenial(state.request, version ?? 1, at);
            this.#judgeOutcome(state.request, undefined, version ?? 1, [state.request.caller], at);
        }
        else if (REFUSAL_STATUSES.has(status) && state.runs > 0) {
            const route = this.#options.versions.findRoute(this.#written.at(-1)?.version ?? 1, state.request.path);
            if (route?.kind === RequestKind.AtMostOnce) {
                this.#report(Rule.Refused, at, state.request, `has run before ${status}`);
            }
        }
    }

    /** Records that a request is refused since no version may decide on it. */
    recordUndecided(id: string, at: number): void {
        const request = this.#requests.get(id)?.request;
        if (request === undefined) {
            return;
        }
        const { caller, sentAt } = request;
        // Until then a daemon that lacks the newest version asks others, who may not answer.
        const isSettled = this.#readRequired(sentAt) === this.#written.at(-1)?.version;
        const isSound = caller.hasStore && this.#isInTouch([caller], [sentAt, at]) && !isImpaired(caller.heldTimes, at);
        if (isSettled && isSound && !request.isUrgent) {
            this.#report(Rule.Undecided, at, request, `refused after ${Math.round(at - sentAt)} ms without a version`);
        }
    }

    /** Judges the rules on shares and times once all is over. */
    complete(now: number): void {
        this.#judgeAddedRoutes(now);
        this.#judgeTimeouts(now);
        this.#judgeSplits(now);
    }

    #judgeOutcome(
        request: SentRequest,
        outcome: RequestOutcome,
        decidedBy: number,
        vms: readonly SimulatedVm[],
        at: number,
    ): void {
        this.#handled++;
        const { deadlineMs, versions } = this.#options;
        const { path, sentAt } = request;
        const allowing = this.#written.filter(({ version }) => versions.isAllowed(version, path, outcome));
        if (allowing.length === 0) {
            this.#report(Rule.NeverAllowed, at, request, `${outcome ?? NOT_FOUND_STATUS} by version ${decidedBy}`);
            return;
        }
        if (outcome !== undefined && !versions.isAllowed(decidedBy, path, outcome)) {
            this.#report(Rule.Misplaced, at, request, `decided by version ${decidedBy}, runs at ${outcome}`);
        }
        const floor = this.#readFloor(request);
        if (floor !== undefined && allowing.every(({ version }) => version < floor)) {
            this.#report(Rule.GoingBack, at, request, `decided by ${decidedBy} after ${floor}`);
        }
        if (!this.#isInTouch(vms, [sentAt, at])) {
            return;
        }
        const replacement = this.#written.find(({ version }) =>
            version > decidedBy && !versions.isAllowed(version, path, outcome)
        );
        if (replacement !== undefined) {
            this.#longestShare = Math.max(
                this.#longestShare,
                (sentAt - replacement.acknowledgedAt) / deadlineMs,
            );
        }
        const required = this.#readRequired(sentAt);
        if (allowing.every(({ version }) => version < required)) {
            this.#report(Rule.Late, at, request, `decided by ${decidedBy}, ${required} is required`);
        }
    }

    #judgeDenial(request: SentRequest, decidedBy: number, at: number): void {
        const { caller, path } = request;
        const known = caller.daemon?.newestBelieved;
        const hasRoute = known !== undefined && known > decidedBy
            && !this.#options.versions.isAllowed(known, path, undefined);
        if (hasRoute && this.#isInTouch([caller], [request.sentAt, at])) {
            this.#report(Rule.Denied, at, request, `decided by ${decidedBy}, ${known} is known`);
        }
    }

    /** Judges the versions of the daemons themselves; called often. */
    judgeVersions(vms: readonly SimulatedVm[], now: number): void {
        const required = this.#readRequired(now);
        for (const vm of vms) {
            const version = vm.daemon?.version;
            const isLate = version !== undefined && version < required && !isImpaired(vm.heldTimes, now);
            if (isLate && vm.hasStore && this.#isInTouch([vm], [now])) {
                this.#options.onViolation({
                    at: now,
                    detail: `${vm.id} has version ${version}, ${required} is required`,
                    rule: Rule.NotInForce,
                });
            }
        }
    }

    /** Judges whether daemons know each other. */
    judgeMembers(vms: readonly SimulatedVm[], now: number): void {
        const settled = vms.filter(({ daemon, impairments, settledAt, state, storeLostAt }) =>
            daemon !== undefined
            && Math.max(settledAt, storeLostAt, state.cutUntil) + KNOWN_AFTER_MS < now
            && !isImpaired(impairments, now) && !isImpaired(impairments, now - KNOWN_AFTER_MS)
            && impairments.every(({ from, to }) => to < now - KNOWN_AFTER_MS || from > now)
        );
        for (const vm of settled) {
            const unknown = settled.filter(({ id }) => vm.daemon?.hasMember(id) === false);
            if (unknown.length > 0) {
                this.#options.onViolation({
                    at: now,
                    detail: `${vm.id} doesn't know ${unknown.map(({ id }) => id).join(" ")}`,
                    rule: Rule.UnknownMember,
                });
            }
        }
    }

    /** Version that has to be in force for a request that is sent at a time. */
    #readRequired(sentAt: number): number {
        const dueBefore = sentAt - this.#options.deadlineMs;
        return this.#written.findLast(({ acknowledgedAt }) => acknowledgedAt < dueBefore)?.version ?? 1;
    }

    #isInTouch(vms: readonly SimulatedVm[], times: readonly number[]): boolean {
        return times.every(at =>
            vms.every(({ impairments, settledAt }) => settledAt <= at && !isImpaired(impairments, at))
        );
    }

    #raiseFloor(request: SentRequest, version: number, at: number): void {
        const key = `${request.caller.id}/${request.incarnation}`;
        const floors = this.#floors.get(key) ?? [];
        if (version > (floors.at(-1)?.version ?? 0)) {
            this.#floors.set(key, [...floors, { at, version }]);
        }
    }

    /** Newest version that has decided at the caller's daemon long enough before a request was sent. */
    #readFloor({ caller, incarnation, sentAt }: SentRequest): number | undefined {
        const slackMs = ROLLBACK_SLACK_MS * (isImpaired(caller.slowTimes, sentAt) ? SLOW_ROLLBACK_FACTOR : 1);
        return this.#floors.get(`${caller.id}/${incarnation}`)?.findLast(({ at }) => at < sentAt - slackMs)?.version;
    }

    #countSplit(request: SentRequest, service: string, vms: readonly SimulatedVm[], at: number): void {
        const settled = this.#readRequired(request.sentAt);
        if (settled !== this.#written.at(-1)?.version || !this.#isInTouch(vms, [request.sentAt, at])) {
            return;
        }
        const counts = this.#splits.get(settled) ?? new Map<string, number>();
        counts.set(service, (counts.get(service) ?? 0) + 1);
        this.#splits.set(settled, counts);
    }

    #judgeSplits(now: number): void {
        for (const [version, counts] of this.#splits) {
            const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
            for (const [service, count] of counts) {
                const error = count / total - this.#options.versions.computeShare(version, SPLIT_PATH, service);
                if (total >= MINIMUM_SPLIT_REQUESTS && Math.abs(error) > MAXIMUM_SPLIT_ERROR) {
                    this.#options.onViolation({
                        at: now,
                        detail: `${service} gets ${count} of ${total} requests by version ${version}`,
                        rule: Rule.Split,
                    });
                }
            }
        }
    }

    #judgeAddedRoutes(now: number): void {
        const added = { served: 0, total: 0 };
        const first = { served: 0, total: 0 };
        for (const { request, status } of this.#requests.values()) {
            const { caller, isConnected, path, sentAt } = request;
            const version = parseAddedPath(path);
            // Where servers can't be reached, the rule compares the places of services, not versions.
            const isJudged = isConnected && this.#isInTouch([caller], [sentAt]);
            if (!isJudged || version !== undefined && version > this.#readRequired(sentAt)) {
                continue;
            }
            const counts = version === undefined || version === 1 ? first : added;
            counts.total++;
            counts.served += status === SUCCESS_STATUS ? 1 : 0;
        }
        if (
            added.total >= MINIMUM_ADDED_REQUESTS
            && added.served / added.total < MINIMUM_ADDED_SHARE * first.served / Math.max(1, first.total)
        ) {
            this.#options.onViolation({
                at: now,
                detail: `${added.served} of ${added.total} served, ${first.served} of ${first.total} on the first ones`,
                rule: Rule.AddedRoutes,
            });
        }
    }

    #judgeTimeouts(now: number): void {
        let long = 0;
        let unanswered = 0;
        for (const { answeredAt, request } of this.#requests.values()) {
            const { caller, isConnected, path, sentAt } = request;
            const timeoutMs = this.#readLongestTimeout(path, sentAt);
            const endsAt = sentAt + timeoutMs;
            const isLong = path.startsWith(SLOW_PATH) && (answeredAt ?? Infinity) > endsAt;
            const judgedAt = endsAt + TIMEOUT_SLACK_MS;
            // A daemon that ends in the meantime isn't in touch when its answer is missing.
            const isHeld = isImpaired(caller.heldTimes, judgedAt);
            // Links that were cut are a disruption of the VM itself.
            const isJudged = isConnected && !isHeld && judgedAt < now;
            if (isLong && isJudged && this.#isInTouch([caller], [sentAt, endsAt, judgedAt])) {
                long++;
                unanswered += (answeredAt ?? Infinity) > judgedAt ? 1 : 0;
            }
        }
        if (long >= MINIMUM_TIMEOUT_REQUESTS && unanswered / long > MAXIMUM_UNANSWERED_SHARE) {
            this.#options.onViolation({
                at: now,
                detail: `${unanswered} of ${long} requests beyond their timeout have no answer`,
                rule: Rule.Timeouts,
            });
        }
    }

    /** Longest timeout of a path by the versions that may be in force. */
    #readLongestTimeout(path: string, sentAt: number): number {
        const required = this.#readRequired(sentAt);
        return Math.max(
            0,
            ...this.#written.filter(({ acknowledgedAt, version }) => version >= required && acknowledgedAt <= sentAt)
                .map(({ version }) => this.#options.versions.findRoute(version, path)?.timeoutMs ?? 0),
        );
    }

    #report(rule: Rule, at: number, { caller, id, path, sentAt }: SentRequest, detail: string): void {
        this.#options.onViolation({
            at,
            detail: `${id} ${path} sent at ${Math.round(sentAt)} to ${caller.id}: ${detail}`,
            rule,
        });
    }
}
