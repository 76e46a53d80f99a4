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

describe("reports that come late or crossed", () => {
    it("ignores a ready report that was sent before the leaving one", () => {
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

    it("takes a new start under the same id, whose counts begin again", () => {
        const registration = new ServerRegistration();
        registration.accept(createReport({ phase: ServerPhase.Leaving, sequence: 50 }), 0);
        expect(registration.accept(createReport({ sequence: 1, startedAt: 300 }), 1)).toBe(ReportResult.Accepted);
        expect(registration.isOpen(1)).toBe(true);
    });

    it("keeps a departed start closed and opens for a later one", () => {
        const registration = new ServerRegistration();
        registration.accept(createReport(), 0);
        registration.acceptDeparture("i-1", undefined);
        expect(registration.accept(createReport({ sequence: 2 }), 1)).toBe(ReportResult.Outdated);
        expect(registration.accept(createReport({ sequence: 1, startedAt: 101 }), 2)).toBe(ReportResult.Accepted);
    });

    it("recognizes a late report of a server that departed before this daemon knew it", () => {
        const registration = new ServerRegistration();
        registration.acceptDeparture("i-1", 100);
        expect(registration.accept(createReport({ sequence: 2 }), 1)).toBe(ReportResult.Outdated);
    });
});

describe("a daemon that restarted", () => {
    const { address, port, serverId, service, slots, startedAt } = createReport();
    const identity = { address, port, serverId, service, slots, startedAt };

    it("opens for a report only after that server has confirmed that it serves", () => {
        const registration = new ServerRegistration(false);
        registration.accept(createReport(), 0);
        expect(registration.isOpen(1)).toBe(false);
        registration.confirm("i-2");
        expect(registration.isOpen(1)).toBe(false);
        registration.confirm("i-1");
        expect(registration.isOpen(1)).toBe(true);
    });

    it("opens for a server whose health check lies once its ready reports go on for longer than one can be late", () => {
        const registration = new ServerRegistration(false);
        for (let at = 0; at < 6_000; at += 1_500) {
            registration.accept(createReport({ sequence: 10 + at / 1_500 }), at);
            expect(registration.isOpen(at)).toBe(false);
        }
        registration.accept(createReport({ sequence: 14 }), 6_000);
        expect(registration.isOpen(6_000)).toBe(true);
    });

    it("stays closed for late reports that come together, and begins anew for another server", () => {
        const registration = new ServerRegistration(false);
        registration.accept(createReport({ sequence: 3 }), 0);
        registration.accept(createReport({ sequence: 3 }), 6_000);
        expect(registration.isOpen(6_000)).toBe(false);
        registration.accept(createReport({ sequence: 1, serverId: "i-2", startedAt: 200 }), 6_100);
        registration.accept(createReport({ sequence: 2, serverId: "i-2", startedAt: 200 }), 6_200);
        expect(registration.isOpen(6_200)).toBe(false);
    });

    it("takes all reports of a server that it recalled, also the first of its start", () => {
        const registration = new ServerRegistration(false);
        registration.restore(identity, 0);
        registration.confirm("i-1");
        expect(registration.isOpen(1)).toBe(true);
        expect(registration.accept(createReport({ phase: ServerPhase.Leaving }), 2)).toBe(ReportResult.Accepted);
        expect(registration.isOpen(3)).toBe(false);
    });

    it("recalls no server that has reported its departure, and none instead of a report", () => {
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

describe("a server that can't be reached", () => {
    it("is closed for a pause that grows and opens when it is reached", () => {
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

    it("is opened at once by the report of another start", () => {
        const registration = new ServerRegistration();
        registration.accept(createReport(), 0);
        registration.markUnreachable(0);
        registration.accept(createReport({ serverId: "i-2", startedAt: 200 }), 10);
        expect(registration.isOpen(10)).toBe(true);
    });
});
