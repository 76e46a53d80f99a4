import { describe, expect, it } from "vitest";
import { SESSION_LIFETIME_MS } from "../../access/index.js";
import { createSessionManager } from "../../access/index.js";
import { readFormFields, startClient, TOKEN } from "../fixtures/ConsoleClient.js";

// Guards against access without a session, and against forged forms, hosts and cookies.
describe("console access", () => {
    it("redirects requests without a session to the sign-in page, for any path", async () => {
        const client = await startClient("");
        for (const path of ["/", "/document", "/document.yaml", "/history/1", "/edit/services/ledger", "/nothing"]) {
            expect(await client.get(path)).toMatchObject({ location: "/sign-in", status: 303 });
        }
        expect((await client.post("/publish", {})).status).toBe(401);
    });

    it("accepts a form submitted again after its session ended and the operator signed in again", async () => {
        const client = await startClient();
        const form = await client.get("/edit/classes/money");
        await client.post("/sign-out", readFormFields(form.text, "/sign-out"));
        const ended = await client.submit(form, "/review/form", { "piece.weight": "9" });
        expect(ended.status).toBe(401);
        expect(ended.text).toContain("nothing you typed is lost");
        await client.post("/sign-in", { operator: "jonas", token: TOKEN });
        const review = await client.submit(form, "/review/form", { "piece.weight": "9" });
        expect(review.text).toContain("Publish as version 2");
    });

    it("rejects a sign-in with a wrong token or without a name", async () => {
        const client = await startClient("");
        expect((await client.post("/sign-in", { operator: "jonas", token: "guess" })).status).toBe(403);
        expect((await client.post("/sign-in", { operator: " \u0007 ", token: TOKEN })).status).toBe(422);
        expect((await client.get("/")).status).toBe(303);
    });

    it("sets a cookie that scripts can't read and foreign pages can't send", async () => {
        const client = await startClient("");
        const answer = await client.post("/sign-in", { operator: "jonas", token: TOKEN });
        expect(answer.headers["set-cookie"]).toMatch(/; HttpOnly; SameSite=Strict; Path=\/; /);
        expect(client.logLines).toContain("jonas signed in.");
    });

    it("rejects forms from foreign origins and forms without the form token", async () => {
        const client = await startClient();
        const fields = readFormFields((await client.get("/edit/classes/money")).text, "/review/form");
        expect((await client.post("/review/form", fields, { origin: "http://evil.example" })).status).toBe(403);
        expect((await client.post("/review/form", fields, { "sec-fetch-site": "cross-site" })).status).toBe(403);
        expect((await client.post("/review/form", fields, { origin: "null" })).status).toBe(403);
        expect((await client.post("/review/form", fields, { origin: "http://localhost" })).status).toBe(200);
        fields.delete("formToken");
        expect((await client.post("/review/form", fields)).status).toBe(403);
    });

    it("rejects unknown host names as a protection against DNS rebinding", async () => {
        const client = await startClient();
        expect((await client.get("/document", { host: "evil.example" })).status).toBe(403);
    });

    it("sends security headers that allow only its own scripts and styles and no framing", async () => {
        const { headers, text } = await (await startClient()).get("/document");
        expect(headers).toMatchObject({
            "cache-control": "no-store",
            "content-security-policy":
                "base-uri 'none';connect-src 'self';default-src 'none';form-action 'self';frame-ancestors 'none';"
                + "img-src 'self';script-src 'self';style-src 'self'",
            "referrer-policy": "same-origin",
            "x-content-type-options": "nosniff",
            "x-frame-options": "DENY",
        });
        expect(text).not.toMatch(/<script(?! src)|\sstyle=|\son[a-z]+=/);
    });

    it("rejects forged and expired cookies", () => {
        const sessions = createSessionManager(TOKEN);
        const cookie = sessions.createCookie("jonas", 0);
        expect(sessions.verifyCookie(cookie, 1)).toMatchObject({ operator: "jonas" });
        expect(sessions.verifyCookie(cookie, SESSION_LIFETIME_MS + 1)).toBeUndefined();
        expect(sessions.verifyCookie(`${cookie}x`, 1)).toBeUndefined();
        const [, mac] = cookie.split(".");
        const payload = Buffer.from(JSON.stringify({ issuedAt: 0, operator: "marta" })).toString("base64url");
        expect(sessions.verifyCookie(`${payload}.${mac}`, 1)).toBeUndefined();
        expect(createSessionManager("another-token").verifyCookie(cookie, 1)).toBeUndefined();
    });
});
