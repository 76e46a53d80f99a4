import { describe, expect, it } from "vitest";
import { LinkDirection, LinkTraffic, LinkTrafficKind } from "../../index.js";

// Guards against a full link of which nobody can tell what fills it.
describe("the traffic of a link", () => {
    it("is counted by kind and direction, with what it hasn't carried", () => {
        const traffic = new LinkTraffic();
        traffic.record(LinkDirection.Out, LinkTrafficKind.Answers, 100);
        traffic.record(LinkDirection.Out, LinkTrafficKind.Answers, 20);
        traffic.record(LinkDirection.In, LinkTrafficKind.Requests, 7);
        const counts = new Map(traffic.list().map(({ bytes, direction, kind }) => [`${direction} ${kind}`, bytes]));
        expect([counts.get("out answers"), counts.get("in requests"), counts.get("in answers")]).toEqual([120, 7, 0]);
        expect(traffic.receivedBytes).toBe(7);
    });
});
