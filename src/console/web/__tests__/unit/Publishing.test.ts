import { describe, expect, it } from "vitest";
import type { SourceDocument } from "../../../../state/document/index.js";
import type { ConsoleClient, ConsoleResponse } from "../fixtures/ConsoleClient.js";
import { readFormFields, startClient } from "../fixtures/ConsoleClient.js";
import { createMemoryConfiguration, parseLakeshore } from "../fixtures/MemoryConfiguration.js";

/** Returns the document with changed settings of the service `ledger`. */
function withLedger(document: SourceDocument, changes: object): SourceDocument {
    const ledger = document.services["ledger"];
    return { ...document, services: { ...document.services, ledger: { ...ledger, ...changes } } } as SourceDocument;
}

/** Submits a change of the service `ledger` for review without publishing it. */
async function reviewLedger(
    client: ConsoleClient,
    changes: Readonly<Record<string, string>>,
): Promise<ConsoleResponse> {
    return client.submit(await client.get("/edit/services/ledger"), "/review/form", changes);
}

// Guards against a change that silently overwrites that of another operator.
describe("concurrent changes of two operators", () => {
    it("are both shown, and the later one is rebased onto the new version", async () => {
        const client = await startClient();
        const { configuration } = client;
        const review = await reviewLedger(client, { "message": "more room", "piece.slots": "16" });
        configuration.acceptFrom("marta", withLedger(parseLakeshore(), { slowStart: "30s" }), "slower start");
        const conflict = await client.submit(review, "/publish", { message: "more room" });
        expect(conflict.status).toBe(409);
        expect(conflict.text).toContain("marta was first");
        expect(conflict.text).toMatch(/What changed since version 1.*slowStart.*30s.*What you wanted.*slots.*16/s);
        const again = await client.submit(conflict, "/review");
        expect(await client.submit(again, "/publish")).toMatchObject({ location: "/?published=3" });
        expect(configuration.versions[2]).toMatchObject({ author: "jonas", message: "more room" });
        expect(configuration.versions[2]?.document.services["ledger"]).toMatchObject({ slots: 16, slowStart: "30s" });
    });

    it("to the same setting are listed, and the form keeps the operator's own value", async () => {
        const client = await startClient();
        const review = await reviewLedger(client, { "piece.slots": "16" });
        client.configuration.acceptFrom("marta", withLedger(parseLakeshore(), { slots: 20 }));
        const conflict = await client.submit(review, "/publish");
        expect(conflict.text).toContain("<strong>slots</strong>: marta set 20, you set 16");
        const form = await client.submit(conflict, "/edit/again");
        expect(readFormFields(form.text, "/review/form").get("piece.slots")).toBe("16");
        expect(readFormFields(form.text, "/review/form").get("baseVersion")).toBe("2");
    });

    it("to an entry that the other operator removed are kept by adding the entry again", async () => {
        const client = await startClient();
        const [first] = client.configuration.versions;
        const review = await client.submit(await client.get("/edit/resources/stitch-legend"), "/review/form", {
            "piece.text": "zigzag: 4 mm",
        });
        const withoutUse = Object.fromEntries(
            Object.entries(first?.document.routes ?? {}).map(([name, route]) => [name, { ...route, resources: [] }]),
        );
        client.configuration.acceptFrom("marta", { ...parseLakeshore(), resources: {}, routes: withoutUse });
        const again = await client.submit(await client.submit(review, "/publish"), "/review");
        await client.submit(again, "/publish");
        expect(client.configuration.versions[2]?.document.resources?.["stitch-legend"]?.text).toBe("zigzag: 4 mm");
    });
});

// Guards against a change that is lost or accepted twice when the store does not answer.
describe("publication while the store fails", () => {
    it("detects that a change with a lost answer was accepted, and doesn't accept it twice", async () => {
        const client = await startClient();
        const { configuration } = client;
        const review = await reviewLedger(client, { "piece.slots": "16" });
        configuration.nextProposalAnswer = "lost after the write";
        const unknown = await client.submit(review, "/publish");
        expect(unknown.status).toBe(503);
        expect(unknown.text).toContain("Not known yet whether the change was accepted");
        const still = await client.submit(unknown, "/publish/outcome");
        expect(still.text).toContain("Not known yet");
        configuration.isDown = false;
        expect(await client.submit(still, "/publish/outcome")).toMatchObject({ location: "/?published=2" });
        // Publishing the same draft again must not create a second version.
        expect(await client.submit(review, "/publish")).toMatchObject({ location: "/?published=2" });
        expect(configuration.versions).toHaveLength(2);
    });

    it("detects that a change with a lost answer was not accepted, and allows it to be sent again", async () => {
        const client = await startClient();
        const { configuration } = client;
        const review = await reviewLedger(client, { "piece.slots": "16" });
        configuration.nextProposalAnswer = "lost before the write";
        const unknown = await client.submit(review, "/publish");
        configuration.isDown = false;
        const absent = await client.submit(unknown, "/publish/outcome");
        expect(absent.text).toContain("has not been accepted");
        expect(await client.submit(absent, "/publish")).toMatchObject({ location: "/?published=2" });
    });

    it("reports that nothing was sent while the store is down, and keeps the draft", async () => {
        const client = await startClient();
        const review = await reviewLedger(client, { "piece.slots": "16" });
        client.configuration.isDown = true;
        const failed = await client.submit(review, "/publish");
        expect(failed.text).toContain("Nothing was sent, so nothing was changed.");
        expect((await client.get("/")).text).toContain("The store can't be read: No connection to the store.");
        client.configuration.isDown = false;
        expect(await client.submit(failed, "/publish")).toMatchObject({ location: "/?published=2" });
    });

    it("keeps a form that was submitted for review while the store was down", async () => {
        const client = await startClient();
        const form = await client.get("/edit/services/ledger");
        client.configuration.isDown = true;
        const failed = await client.submit(form, "/review/form", { "piece.slots": "16" });
        expect(failed.status).toBe(503);
        client.configuration.isDown = false;
        expect((await client.submit(failed, "/review")).text).toContain("Publish as version 2");
    });
});

// Guards against documents that are altered or lost by export, import or restoration.
describe("import and restoration of documents", () => {
    it("finds no change in the console's own export", async () => {
        const client = await startClient();
        const exported = await client.get("/document.yaml");
        expect(exported.headers["content-disposition"]).toContain("document-1.yaml");
        const page = await client.submit(await client.get("/import"), "/import", { text: exported.text });
        expect(page.text).toContain("Nothing to change");
    });

    it("imports the first document into an empty store", async () => {
        const exported = (await (await startClient()).get("/document.yaml")).text;
        const empty = createMemoryConfiguration();
        empty.versions.length = 0;
        const client = await startClient("jonas", empty);
        expect(await client.get("/document")).toMatchObject({ location: "/import" });
        const review = await client.submit(await client.get("/import"), "/import", { text: exported });
        await client.submit(review, "/publish");
        expect(empty.versions[0]).toMatchObject({ author: "jonas", message: "Import a document", version: 1 });
    });

    it("reports findings with line numbers and keeps the text", async () => {
        const client = await startClient();
        const page = await client.submit(await client.get("/import"), "/import", { text: "mesh:\n  nam: x\n" });
        expect(page.status).toBe(422);
        expect(page.text).toMatch(/2:3: mesh\.nam: Unknown key/);
        expect(readFormFields(page.text, "/import").get("text")).toBe("mesh:\n  nam: x\n");
    });

    it("restores an earlier document as a new version", async () => {
        const client = await startClient();
        client.configuration.acceptFrom("marta", withLedger(parseLakeshore(), { slots: 20 }), "try 20");
        expect((await client.get("/history")).text).toMatch(/Version 2.*try 20.*marta.*Version 1/s);
        const page = await client.get("/history/1");
        const review = await client.submit(page, "/history/1/restore");
        expect(review.text).toMatch(/slots.*20.*12/s);
        await client.submit(review, "/publish");
        expect(client.configuration.versions[2]).toMatchObject({ message: "Restore version 1", version: 3 });
        expect(client.configuration.versions[2]?.document).toEqual(parseLakeshore());
    });
});
