import { describe, expect, it } from "vitest";
import { ReportResult, ServerPhase, ServerRegistration } from "../../index.js";
import type { ServerReport } from "../../index.js";

function createReport(fields: Partial<ServerReport> = {}): ServerReport {
    return {
        address: "10.0.0.1",
        coldLeftMs: 0,
        phase: ServerPhase.Ready,
        port: 80,
        sequence: 1,
        serverId: "i-1",
        service: "ledger",
        slots: 12,
        startedAt: 100,
        ...fields,
    };
}

// Guards against opening a server that is leaving or gone because of a delayed or reordered report.
describe("delayed and reordered reports", () => {
    it("ignores a ready report that was sent before the leaving report", () => {
        const registration = new ServerRegistration();
        registration.accept(createReport({ phase: ServerPhase.Leaving, sequence: 5 }), 0);
        expect(registration.accept(createReport({ sequence: 4 }), 1)).toBe(ReportResult.Outdated);
        expect(registration.isOpen(1)).toBe(false);
    });

    it("ignores a report of an earlier start at the same address", () => {
        const registration = new ServerRegistration();
        registration.accept(createReport({ serverId: "i-2", startedAt: 200 }), 0);
        expect(registration.accept(createReport({ sequence: 50 }), 1)).toBe(ReportResult.Outdated);
        expect(registration.server?.serverId).toBe("i-2");
    });

    // Guards against a server that gets no request any more after another writer has named a later start.
    it("accepts an earlier start under the same id that goes on reporting while the later one is silent", () => {
        const registration = new ServerRegistration();
        registration.accept(createReport(), 0);
        registration.accept(createReport({ phase: ServerPhase.Leaving, sequence: 9, startedAt: 105 }), 1_000);
        expect(registration.accept(createReport({ sequence: 5 }), 7_000)).toBe(ReportResult.Outdated);
        expect(registration.accept(createReport({ sequence: 6 }), 7_001)).toBe(ReportResult.Accepted);
        expect(registration.isOpen(7_001)).toBe(true);
    });

    it("ignores an earlier start under the same id while the later one reports", () => {
        const registration = new ServerRegistration();
        registration.accept(createReport(), 0);
        for (let sequence = 1; sequence <= 6; sequence++) {
            registration.accept(createReport({ sequence, startedAt: 105 }), 2_000 * sequence);
        }
        expect(registration.accept(createReport({ sequence: 6 }), 13_000)).toBe(ReportResult.Outdated);
    });

    it("accepts reports of a new start under the same id, whose sequence begins again", () => {
        const registration = new ServerRegistration();
        registration.accept(createReport({ phase: ServerPhase.Leaving, sequence: 50 }), 0);
        expect(registration.accept(createReport({ sequence: 1, startedAt: 300 }), 1)).toBe(ReportResult.Accepted);
        expect(registration.isOpen(1)).toBe(true);
    });

    it("rejects reports of a departed start and accepts those of a later start", () => {
        const registration = new ServerRegistration();
        registration.accept(createReport(), 0);
        registration.acceptDeparture("i-1", undefined);
        expect(registration.accept(createReport({ sequence: 2 }), 1)).toBe(ReportResult.Outdated);
        expect(registration.accept(createReport({ sequence: 1, startedAt: 101 }), 2)).toBe(ReportResult.Accepted);
    });

    it("ignores a late report of a server that departed before this daemon knew it", () => {
        const registration = new ServerRegistration();
        registration.acceptDeparture("i-1", 100);
        expect(registration.accept(createReport({ sequence: 2 }), 1)).toBe(ReportResult.Outdated);
    });
});

// Guards against opening a server whose departure the daemon acknowledged before it restarted: a late ready
// report of that server may still arrive.
describe("registration after a restart of the daemon", () => {
    const { address, port, serverId, service, slots, startedAt } = createReport();
    const identity = { address, port, serverId, service, slots, startedAt };

    it("opens a reported server only after that server has confirmed that it serves", () => {
        const registration = new ServerRegistration(false);
        registration.accept(createReport(), 0);
        expect(registration.isOpen(1)).toBe(false);
        registration.confirm("i-2");
        expect(registration.isOpen(1)).toBe(false);
        registration.confirm("i-1");
        expect(registration.isOpen(1)).toBe(true);
    });

    it("opens a server with a wrong health check once its ready reports continue past the maximum delay", () => {
        const registration = new ServerRegistration(false);
        for (let at = 0; at < 6_000; at += 1_500) {
            registration.accept(createReport({ sequence: 10 + at / 1_500 }), at);
            expect(registration.isOpen(at)).toBe(false);
        }
        registration.accept(createReport({ sequence: 14 }), 6_000);
        expect(registration.isOpen(6_000)).toBe(true);
    });

    it("stays closed for late reports that arrive together, and restarts the delay for another server", () => {
        const registration = new ServerRegistration(false);
        registration.accept(createReport({ sequence: 3 }), 0);
        registration.accept(createReport({ sequence: 3 }), 6_000);
        expect(registration.isOpen(6_000)).toBe(false);
        registration.accept(createReport({ sequence: 1, serverId: "i-2", startedAt: 200 }), 6_100);
        registration.accept(createReport({ sequence: 2, serverId: "i-2", startedAt: 200 }), 6_200);
        expect(registration.isOpen(6_200)).toBe(false);
    });

    it("accepts all reports of a restored server, including the first one of its start", () => {
        const registration = new ServerRegistration(false);
        registration.restore(identity, 0);
        registration.confirm("i-1");
        expect(registration.isOpen(1)).toBe(true);
        expect(registration.accept(createReport({ phase: ServerPhase.Leaving }), 2)).toBe(ReportResult.Accepted);
        expect(registration.isOpen(3)).toBe(false);
    });

    it("restores no departed server, and none once a server has reported itself", () => {
        const departed = new ServerRegistration(false);
        departed.acceptDeparture("i-1", undefined);
        departed.restore(identity, 0);
        expect(departed.server).toBeUndefined();
        const reported = new ServerRegistration(false);
        reported.accept(createReport({ serverId: "i-2" }), 0);
        reported.restore(identity, 1);
        expect(reported.server?.serverId).toBe("i-2");
    });
});

describe("an unreachable server", () => {
    it("is closed for a growing backoff and opens when it is reached", () => {
        const registration = new ServerRegistration();
        registration.accept(createReport(), 0);
        registration.markUnreachable(0);
        expect(registration.isOpen(249)).toBe(false);
        expect(registration.isOpen(250)).toBe(true);
        registration.markUnreachable(250);
        expect(registration.isOpen(749)).toBe(false);
        registration.markReachable();
        expect(registration.isOpen(260)).toBe(true);
    });

    it("opens at once when another start is reported", () => {
        const registration = new ServerRegistration();
        registration.accept(createReport(), 0);
        registration.markUnreachable(0);
        registration.accept(createReport({ serverId: "i-2", startedAt: 200 }), 10);
        expect(registration.isOpen(10)).toBe(true);
    });
});
