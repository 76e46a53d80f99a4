/**
 * Mutants of the lease of versions, and of what it is taken for. While the background keeps versions fresh hardly any of them
 * harms a caller; each is searched together with the spoilt background.
 */
import type { Mutant } from "./Mutants.js";

const LEASE = "src/transport/directory/VersionLease.ts";
const RESOLVER = "src/transport/routes/RouteResolver.ts";

/** Names of mutants of the background. Nothing but the lease of versions protects the callers of a build with all of them. */
export const SPOILT_BACKGROUND: readonly string[] = [
    "takeovers begin twice as late",
    "takeovers are spread five times as long",
    "reports of watches count although confirmations are missing",
    "watches are trusted whatever was lost",
    "checks of the store are four times as late",
    "late versions are read four times as late",
    "no version is overdue",
    "a daemon without copies waits 9 s before it reads the store",
];

const TIMERS = "src/transport/timers/Timers.ts";

/** Together they are the order of Node.js: a daemon that was held takes its own delay for the silence of others. */
export const ACTS_BEFORE_READING = "an expired timer acts before what has arrived is read";
export const COUNTS_OWN_DELAY = "the time for which a daemon is held counts as the silence of others";

/** Also without the spoilt background. */
export const OLDER_ANSWER_DECIDES = "an answer decides that is older than what has decided meanwhile";

/** The judge then takes a decision within the lease for one beyond it. */
export const ROUNDED_AGE = "the age of a decision is rounded";

/** A VM with a full link then decides like one that is cut off. */
export const LATE_IS_UNANSWERED = "late answers to a renewal count as missing ones";

export const LEASE_MUTANTS: readonly Mutant[] = [
    {
        file: TIMERS,
        from: "cancel = runAfterReading(action);",
        name: ACTS_BEFORE_READING,
        to: "cancel = runAfterReading === undefined ? cancel : () => undefined; action();",
    },
    {
        file: TIMERS,
        from: "const TIMEOUT_STEPS = 4;",
        name: COUNTS_OWN_DELAY,
        to: "const TIMEOUT_STEPS = 1;",
    },
    {
        file: LEASE,
        from: "if (this.readAgeMs(own, now) <= limits.renewLeaseAfterMs) {",
        name: "a renewal counts whatever the age",
        to: "if (this.readAgeMs(own, now) <= Infinity) {",
    },
    {
        file: LEASE,
        from: "const reading = readStore().finally(",
        name: "no renewal reads the store",
        to: "const reading = Promise.resolve(readStore === undefined).finally(",
    },
    {
        file: LEASE,
        from: "this.#retryAt = now + this.#retryDelays.next().value;",
        name: "a renewal that nobody has answered is never tried again",
        to: "this.#retryAt = Infinity;",
    },
    {
        file: "src/transport/directory/DirectoryConstants.ts",
        from: "export const LEASE_RETRY_MAXIMUM_MS = 2_000;",
        name: "a renewal that nobody has answered is tried again after up to 8 s",
        to: "export const LEASE_RETRY_MAXIMUM_MS = 8_000;",
    },
    {
        file: LEASE,
        from: "return newest !== undefined && now - newest.at <= limits.leaseMs ? newest : undefined;",
        name: "a confirmed version counts at any age",
        to: "return now - limits.leaseMs < Infinity ? newest : undefined;",
    },
    {
        file: LEASE,
        from: "&& lag.listSources(listReachable(), now, newest.version).length > 0;",
        name: "a renewal counts although no daemon with the newer version can be asked",
        to: "&& lag.listSources(listReachable(), now, newest.version).length >= 0;",
    },
    {
        file: LEASE,
        from:
            "return await withTimeout(timers, MINIMUM_ANSWER_TIMEOUT_MS, this.#reading ?? Promise.resolve(false)) === true;",
        name: "no renewal waits for the store",
        to: "return await withTimeout(timers, 0 * MINIMUM_ANSWER_TIMEOUT_MS, this.#reading ?? Promise.resolve(false)) === true;",
    },
    {
        file: LEASE,
        from: "MINIMUM_ANSWER_TIMEOUT_MS, this.#reading ?? Promise.resolve(false)) === true;",
        name: "a reading that the store has left unanswered counts as answered",
        to: "MINIMUM_ANSWER_TIMEOUT_MS, this.#reading ?? Promise.resolve(false)) !== null;",
    },
    {
        file: LEASE,
        from: "if (!isAnswered && this.#isDelayed(receivedBefore, received)) {",
        name: LATE_IS_UNANSWERED,
        to: "if (!isAnswered && startedAt < 0 && this.#isDelayed(receivedBefore, received)) {",
    },
    {
        file: LEASE,
        from: "const cancel = scheduleTimeout(timers, step.waitMs, resolve);",
        name: "the wait for other daemons ends at once",
        to: "const cancel = scheduleTimeout(timers, step.waitMs / 50, resolve);",
    },
    {
        file: LEASE,
        from: "if (countDaemons() <= 1) {",
        name: "no renewal asks other daemons",
        to: "if (countDaemons() <= Infinity) {",
    },
    {
        file: RESOLVER,
        from:
            "if (isValid || version === undefined || outcome === RenewalOutcome.Unanswered && sources.length === 0) {",
        name: "the own version decides after each wait for a renewal",
        to: "if (isValid || version === undefined || sources.length >= 0) {",
    },
    {
        file: RESOLVER,
        from: "if (outcome === RenewalOutcome.OutOfTime || configuration === undefined) {",
        name: "the own version decides when the time for a renewal is over",
        to: "if (configuration === undefined) {",
    },
    {
        file: RESOLVER,
        from: "lag.readNewestBelieved(now()) : lag.lowestDeciding);",
        name: OLDER_ANSWER_DECIDES,
        to: "lag.readNewestBelieved(now()) : -Infinity);",
    },
    {
        file: RESOLVER,
        from: "confirmedAgeMs: Number.isFinite(ageMs) ? ageMs : undefined };",
        name: ROUNDED_AGE,
        to: "confirmedAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined };",
    },
    {
        file: RESOLVER,
        from: ": { sources: this.#listSources(now(), newest.version), version: newest.version };",
        name: "daemons of any newer version stand in beyond the lease",
        to: ": { sources: this.#listSources(now()), version: own };",
    },
];
