import { describe, expect, it } from "vitest";
import { startClient } from "../fixtures/ConsoleClient.js";
import { createMemoryConfiguration, parseLakeshore } from "../fixtures/MemoryConfiguration.js";

const NEW_SERVICE = {
    "name": "swatches",
    "piece.connections": "120",
    "piece.servers.erie-a": "2",
    "piece.slots": "12",
};

// Guards against forms that lose or alter settings, or that accept changes which the document doesn't allow.
describe("edit forms", () => {
    it("preserve every entry when its form is submitted without a change", async () => {
        const client = await startClient();
        const { document } = client.configuration.versions[0] ?? { document: undefined };
        const paths = Object.entries({ ...document, mesh: { "": 0 } }).flatMap(([section, entries]) =>
            Object.keys(entries ?? {}).map(name => name === "" ? "/edit/mesh" : `/edit/${section}/${name}`)
        );
        expect(paths.length).toBeGreaterThan(15);
        for (const path of paths) {
            const review = await client.submit(await client.get(path), "/review/form");
            expect(`${path} ${review.text}`).toContain("Nothing to change");
        }
    });

    it("add a service after a review, and record the operator in the history and the log", async () => {
        const client = await startClient();
        const review = await client.submit(await client.get("/edit/services"), "/review/form", NEW_SERVICE);
        expect(review.status).toBe(200);
        expect(review.text).toContain("<h3>service swatches <em>added</em></h3>");
        expect(client.configuration.versions).toHaveLength(1);
        expect(await client.submit(review, "/publish")).toMatchObject({ location: "/?published=2", status: 303 });
        const accepted = client.configuration.versions[1];
        expect(accepted).toMatchObject({ author: "jonas", message: "Add service swatches" });
        expect(accepted?.document.services["swatches"]).toEqual({
            connections: 120,
            servers: { "erie-a": 2 },
            slots: 12,
        });
        expect(client.logLines).toContain("jonas published version 2: Add service swatches.");
    });

    it("show each finding beside its field and keep the input", async () => {
        const client = await startClient();
        const form = await client.get("/edit/services/ledger");
        const faulty = await client.submit(form, "/review/form", {
            "piece.connections": "many",
            "piece.probe.timeout": "1 fortnight",
            "piece.slots": "",
        });
        expect(faulty.status).toBe(422);
        expect(faulty.text).toContain("3 findings: nothing was sent");
        expect(faulty.text).toMatch(/value="many"[^>]*aria-describedby="piece-connections-findings[^>]*aria-invalid/);
        expect(faulty.text).toMatch(/value="1 fortnight"[^>]*aria-invalid="true"/);
        expect(faulty.text).toMatch(/id="piece-probe-timeout-findings"><li>[^<]*duration from 10ms to 1m/);
        expect(faulty.text).toMatch(/id="piece-slots-findings"><li>[^<]*whole number from 1 to 100000/);
        const review = await client.submit(faulty, "/review/form", {
            "piece.connections": "60",
            "piece.probe.timeout": "2s",
            "piece.slots": "12",
        });
        expect(review.text).toContain("Publish as version 2");
    });

    it("offer only services that the document defines", async () => {
        const client = await startClient();
        const form = await client.get("/edit/routes");
        const services = /<select name="piece\.service".*?<\/select>/s.exec(form.text)?.[0] ?? "";
        expect([...services.matchAll(/value="([^"]*)"/g)].map(match => match[1])).toEqual([
            "",
            "ledger",
            "status-desk",
            "workroom",
        ]);
    });

    it("report a new entry whose name is in use instead of replacing the existing one", async () => {
        const client = await startClient();
        const form = await client.get("/edit/services");
        const answer = await client.submit(form, "/review/form", { ...NEW_SERVICE, name: "ledger" });
        expect(answer.status).toBe(422);
        expect(answer.text).toMatch(/id="name-findings"><li>The name &quot;ledger&quot; is already in use/);
    });

    it("reject the removal of a service in use and list the routes that use it", async () => {
        const client = await startClient();
        const form = await client.get("/edit/services/ledger");
        const answer = await client.submit(form, "/review/form", { action: "remove" });
        expect(answer.status).toBe(422);
        expect(answer.text).toMatch(/routes\.[a-z-]+\.service: The document has no service &quot;ledger&quot;/);
    });

    it("remove a class that no route uses", async () => {
        const configuration = createMemoryConfiguration();
        const document = parseLakeshore();
        configuration.acceptFrom("marta", {
            ...document,
            classes: { ...document.classes, guests: { weight: 1 } },
        });
        const client = await startClient("jonas", configuration);
        const form = await client.get("/edit/classes/guests");
        const review = await client.submit(form, "/review/form", { action: "remove" });
        await client.submit(review, "/publish");
        expect(configuration.versions[2]?.document.classes).toEqual(document.classes);
    });

    it("change the weighing of the mesh", async () => {
        const client = await startClient();
        const form = await client.get("/edit/mesh");
        const review = await client.submit(form, "/review/form", { "piece.weighing": "convergence" });
        expect(review.text).toMatch(/weighing<\/dt>.*bytes.*convergence/s);
        await client.submit(review, "/publish");
        expect(client.configuration.versions[1]?.document.mesh.weighing).toBe("convergence");
    });

    it("escape the input of operators", async () => {
        const client = await startClient("<b>jonas");
        const typed = "\"><script>alert(1)</script>";
        const answer = await client.submit(await client.get("/edit/services"), "/review/form", { name: typed });
        expect(answer.text).not.toContain("<script>alert");
        expect(answer.text).not.toContain("<b>jonas");
    });
});
