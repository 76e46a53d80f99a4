/** Guards against parts of a body that are sent after nobody wants them, and against a body of another length than was said. */
import { expect, it } from "vitest";
import { LinkPacer } from "../../../../coordination/scheduling/index.js";
import { RequestKind } from "../../../../state/traffic/index.js";
import { createOwnedRequest } from "../../../ownership/__tests__/fixtures/Admission.js";
import { UplinkSender } from "../../../uplink/index.js";
import { ArrivingBody, sendLaterBody, splitLaterBody } from "../../LaterBody.js";

const BYTES_PER_MS = 4_000;

it("only a large body of an upload is sent later", () => {
    const large = new Uint8Array(20_000);
    const split = splitLaterBody(createOwnedRequest("r", { body: large, kind: RequestKind.Upload }));
    expect(split).toMatchObject({ body: new Uint8Array(0), laterBodyBytes: 20_000 });
    for (const fields of [{ body: large }, { body: new Uint8Array(9), kind: RequestKind.Upload }]) {
        const request = createOwnedRequest("r", fields);
        expect(splitLaterBody(request)).toBe(request);
    }
});

it("parts wait for the link, and none is sent once the request is cancelled", async () => {
    let now = 0;
    const uplink = new UplinkSender(new LinkPacer(BYTES_PER_MS), () => now);
    const body = new Uint8Array(200_000);
    const sent: number[] = [];
    let isWanted = true;
    sendLaterBody(body, uplink, () => isWanted, part => sent.push(part.length), () => sent.push(-1));
    expect(sent).toEqual([40_000]);
    now += 30;
    await expect.poll(() => sent.length).toBe(2);
    isWanted = false;
    now += 1_000;
    await expect.poll(() => uplink.isIdle).toBe(true);
    expect(sent).toEqual([40_000, 40_000]);
    isWanted = true;
    sendLaterBody(new Uint8Array(5), uplink, () => isWanted, part => sent.push(part.length), () => sent.push(-1));
    expect(sent.slice(2)).toEqual([5, -1]);
});

it("a body is taken whole, and neither short nor long", () => {
    const body = new ArrivingBody(3);
    expect([body.add(Buffer.from("ab")), body.take()]).toEqual([true, undefined]);
    expect([body.add(Buffer.from("c")), body.take()?.toString()]).toEqual([true, "abc"]);
    expect([body.add(Buffer.from("d")), body.take()]).toEqual([false, undefined]);
});
