/** Guards against quotas whose timers, messages or choice of the allocator don't fit together, and messages that grow. */
import { describe, expect, it } from "vitest";
import { decodeSessionMessage, encodeSessionMessage } from "../../../../protocol/session/index.js";
import { createSeededRandom } from "../../../../state/shared/index.js";
import type { Tenant } from "../../../../state/traffic/index.js";
import { QuotaManager } from "../../index.js";
import type { QuotaMessage } from "../../index.js";

const WINDOW_MS = 5_000;
const STEP_MS = 10;
const REQUEST_INTERVAL_MS = 20;

/** Daemons on a simulated clock whose messages take no time. */
class Daemons {
    readonly managers: QuotaManager[] = [];
    readonly gone = new Set<number>();
    tenants: readonly Tenant[];
    bytes = 0;
    now = 0;
    #timers: { readonly at: number; readonly run: () => void; }[] = [];

    constructor(count: number, tenants: readonly Tenant[]) {
        this.tenants = tenants;
        const silent = { debug() {}, error() {}, info() {}, isEnabled: () => false, trace() {}, warn() {} };
        for (let index = 0; index < count; index++) {
            this.managers.push(
                new QuotaManager({
                    countDaemons: () => count,
                    isFirst: true,
                    listConnected: () => new Set(this.#listIds().filter((_, other) => !this.gone.has(other))),
                    listMembers: () => this.#listIds().map((id, startedAt) => ({ id, startedAt })),
                    listTenants: () => this.tenants,
                    log: silent,
                    now: () => this.now,
                    random: createSeededRandom(index + 1),
                    readSendingTime: () => this.now,
                    selfId: `d${index}`,
                    send: (id, message) => this.#send(index, Number(id.slice(1)), message),
                    timers: { after: (delayMs, run) => this.#startTimer(delayMs, run) },
                    windowMs: WINDOW_MS,
                }),
            );
        }
        this.managers.forEach(manager => manager.start());
    }

    /** Plays until `end`; `request` is called for each daemon every 20 ms. */
    play(end: number, request: (manager: QuotaManager, index: number) => void): void {
        for (; this.now < end; this.now += STEP_MS) {
            const due = this.#timers.filter(({ at }) => at <= this.now);
            this.#timers = this.#timers.filter(({ at }) => at > this.now);
            due.forEach(({ run }) => run());
            if (this.now % REQUEST_INTERVAL_MS === 0) {
                this.managers.forEach((manager, index) => this.gone.has(index) || request(manager, index));
            }
        }
    }

    #listIds(): readonly string[] {
        return this.managers.map((_, index) => `d${index}`);
    }

    #send(from: number, to: number, message: QuotaMessage): void {
        if (this.gone.has(from) || this.gone.has(to)) {
            return;
        }
        const frame = encodeSessionMessage(message);
        this.bytes += frame.length;
        this.managers[to]?.handle(`d${from}`, decodeSessionMessage(frame) as QuotaMessage, 1);
    }

    #startTimer(delayMs: number, run: () => void): () => void {
        const timer = { at: this.now + delayMs, run };
        this.#timers.push(timer);
        return () => {
            this.#timers = this.#timers.filter(other => other !== timer);
        };
    }
}

const ledger = { burst: 100, name: "ledger", ratePerSecond: 100 };

describe("QuotaManager", () => {
    it("serves a tenant's whole limit where its requests arrive, and not more", () => {
        const daemons = new Daemons(8, [ledger]);
        let served = 0;
        daemons.play(10_000, (manager, index) => index === 5 && manager.take(ledger, daemons.now));
        daemons.play(20_000, (manager, index) => {
            for (let tries = 0; index === 5 && tries < 10; tries++) {
                served += manager.take(ledger, daemons.now) === undefined ? 1 : 0;
            }
        });
        expect(served).toBeGreaterThan(100 * 10 * 0.97);
        expect(served).toBeLessThanOrEqual(2 * 600);
    });

    it("passes the work on when the allocator is lost", () => {
        const daemons = new Daemons(8, [ledger]);
        const request = (manager: QuotaManager) => manager.take(ledger, daemons.now);
        daemons.play(8_000, request);
        const before = daemons.managers[7]?.describe().allocator;
        daemons.gone.add(Number(before?.slice(1)));
        daemons.play(20_000, request);
        expect(daemons.managers[7]?.describe().allocator).not.toBe(before);
        expect(daemons.managers[7]?.describe().tenants[0]?.quota).toBeGreaterThan(50);
    });

    it("follows a lowered, a raised and a removed limit", () => {
        const daemons = new Daemons(8, [ledger]);
        let served = 0;
        const request = (manager: QuotaManager, index: number) => {
            served += index < 3 && manager.take(ledger, daemons.now) === undefined ? 1 : 0;
        };
        const playWith = (tenants: readonly Tenant[], forMs: number): void => {
            daemons.tenants = tenants;
            daemons.managers.forEach(manager => manager.applyTenants());
            served = 0;
            daemons.play(daemons.now + forMs, request);
        };
        playWith([ledger], 8_000);
        playWith([{ ...ledger, burst: 0, ratePerSecond: 20 }], 8_000);
        playWith([{ ...ledger, burst: 0, ratePerSecond: 20 }], 5_000);
        expect(served).toBeLessThanOrEqual(100);
        expect(served).toBeGreaterThanOrEqual(90);
        playWith([ledger], 2_000);
        playWith([ledger], 1_000);
        expect(served).toBeGreaterThan(90);
        playWith([], 1_000);
        expect(served).toBe(150);
    });

    it("sends no message while no tenant has a limit", () => {
        const daemons = new Daemons(8, [{ burst: 0, name: "ledger" }]);
        daemons.play(3_000, manager => manager.take(ledger, daemons.now));
        expect(daemons.bytes).toBe(0);
        expect(daemons.managers[0]?.listWanted(() => false)).toEqual([]);
    });

    it("keeps messages small", () => {
        const tenants = Array.from({ length: 83 }, (_, index) => ({ ...ledger, name: `tenant-${index}` }));
        const daemons = new Daemons(20, tenants);
        const request = (manager: QuotaManager, index: number) =>
            manager.take(tenants[(index * 7 + daemons.now / REQUEST_INTERVAL_MS) % 83] as Tenant, daemons.now);
        daemons.play(8_000, request);
        const before = daemons.bytes;
        daemons.play(13_000, request);
        const perDaemonAndSecond = (daemons.bytes - before) / 5 / 20;
        expect(perDaemonAndSecond).toBeLessThan(2_500);
    });
});
