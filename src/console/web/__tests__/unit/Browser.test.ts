import type { Page } from "playwright-core";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type { Browser } from "../fixtures/Browser.js";
import { hasChromium, startBrowser } from "../fixtures/Browser.js";
import { TOKEN } from "../fixtures/ConsoleClient.js";
import type { LiveConsole } from "../fixtures/LiveConsole.js";
import { startLiveConsole } from "../fixtures/LiveConsole.js";
import { parseLakeshore } from "../fixtures/MemoryConfiguration.js";

/** Time limit for each action and wait in the browser. */
const ACTION_TIMEOUT_MS = 10_000;

/** Builds the status of a mesh of four daemons, of which `daemons` have the version in force. */
function buildStatus(version: number, daemons: number): object {
    return {
        controlBytes: 9_000,
        controlBytesAcrossRegions: 800,
        daemons: 4,
        unsettled: 0,
        versions: [{ daemons, version }, { daemons: 4 - daemons, version: version - 1 }],
        waiting: daemons === 4
            ? []
            : [{ daemons: 1, reason: "erie-b: service swatches has announced no backend server" }],
    };
}

/** Presses Tab until an element with the name or text has the focus; fails at a focus trap. */
async function moveFocusTo(page: Page, wanted: string): Promise<void> {
    for (let step = 0; step < 80; step += 1) {
        await page.keyboard.press("Tab");
        const focused = await page.evaluate("document.activeElement.name || document.activeElement.textContent");
        if (String(focused).trim() === wanted) {
            return;
        }
    }
    throw new Error(`Element "${wanted}" did not receive the focus within 80 presses of Tab.`);
}

/** Measures by how many CSS pixels a page is wider than the window. */
async function measureOverflow(page: Page): Promise<number> {
    return Number(await page.evaluate("document.documentElement.scrollWidth - window.innerWidth"));
}

// Guards against pages that need a mouse, a wide screen or a reload, or that violate the content security policy.
describe.skipIf(!hasChromium())("console in a browser as wide as a phone", () => {
    let live: LiveConsole;
    let browser: Browser;
    let page: Page;
    const pageErrors: string[] = [];

    beforeAll(async () => {
        live = await startLiveConsole();
        browser = await startBrowser();
        ({ page } = browser);
        page.setDefaultTimeout(ACTION_TIMEOUT_MS);
        page.on("pageerror", error => pageErrors.push(error.message));
        // Violations of the content security policy are reported as console errors.
        page.on("console", message => /Content Security/.test(message.text()) && pageErrors.push(message.text()));
        await page.goto(live.url);
    });

    afterAll(async () => {
        await browser?.close();
        await live?.close();
    });

    it("lets an operator sign in with the keyboard only", async () => {
        await page.keyboard.press("Tab");
        expect(await page.evaluate("document.activeElement.textContent")).toBe("Skip to the content");
        await moveFocusTo(page, "operator");
        await page.keyboard.type("jonas");
        await page.keyboard.press("Tab");
        await page.keyboard.type(TOKEN);
        await page.keyboard.press("Enter");
        await page.waitForSelector("#live");
        expect(await page.textContent("#live .state")).toContain("Version 1 is accepted.");
    });

    it("shows a finding beside its field and moves the focus to the summary", async () => {
        await page.goto(`${live.url}/edit/services`);
        await page.getByLabel("Name").fill("swatches");
        await page.getByLabel("Slots").fill("12");
        await page.getByLabel("Connections").fill("8");
        await page.getByLabel("erie-a").fill("2");
        await page.getByRole("button", { name: "Review the change" }).press("Enter");
        // The script moves the focus after the page was read.
        await page.waitForFunction("document.activeElement.getAttribute('role') === 'alert'");
        expect(await page.textContent("#piece-connections-findings")).toContain(
            "8 connections are too few for 12 slots",
        );
        expect(await page.getByLabel("erie-a").inputValue()).toBe("2");
    });

    it("publishes a service and a route that uses it", async () => {
        await page.getByLabel("Connections").fill("120");
        await page.getByRole("button", { name: "Review the change" }).click();
        await page.getByRole("button", { name: "Publish as version 2" }).click();
        await page.waitForURL(/published=2/);
        await page.goto(`${live.url}/edit/routes`);
        await page.getByLabel("Name").fill("swatches");
        await page.getByLabel("Path").fill("/swatches");
        await page.locator("[name='piece.service']").selectOption("swatches");
        await page.locator("[name='piece.class']").selectOption("media");
        await page.getByLabel("Repeatable").selectOption("yes");
        await page.getByRole("button", { name: "Review the change" }).click();
        await page.getByRole("button", { name: "Publish as version 3" }).click();
        await page.waitForURL(/published=3/);
        const history = (await live.otherOperator.readHistory(3)).unsafeCoerce();
        expect(history.map(({ author, message }) => `${author}: ${message}`)).toEqual([
            "jonas: Add route swatches",
            "jonas: Add service swatches",
            "marta: first document",
        ]);
    });

    it("updates the convergence without a reload", async () => {
        await live.writeStatus(buildStatus(3, 3));
        await page.getByText("Version 3 is in force on 3 of 4 daemons.").waitFor();
        await page.getByText("service swatches has announced no backend server").waitFor();
        await live.writeStatus(buildStatus(3, 4));
        await page.getByText("Version 3 is in force on all 4 daemons.").waitFor();
    });

    it("rebases a conflicting change onto the newer version without losing input", async () => {
        await page.goto(`${live.url}/edit/services/swatches`);
        await page.getByLabel("Slots").fill("16");
        const current = (await live.otherOperator.readCurrent()).unsafeCoerce()?.document ?? parseLakeshore();
        const swatches = { ...current.services["swatches"], slowStart: "30s" } as typeof current.services[string];
        const document = { ...current, services: { ...current.services, swatches } };
        await live.otherOperator.propose({ author: "marta", baseVersion: 3, document, message: "slower start" });
        await page.getByRole("button", { name: "Review the change" }).click();
        await page.getByText("marta was first: your change was not made").waitFor();
        await page.getByRole("button", { name: "Make my change again on version 4" }).click();
        await page.getByRole("button", { name: "Publish as version 5" }).click();
        await page.waitForURL(/published=5/);
        const accepted = (await live.otherOperator.readCurrent()).unsafeCoerce();
        expect(accepted?.document.services["swatches"]).toMatchObject({ slots: 16, slowStart: "30s" });
    });

    it("fits the width of a phone on every page without script errors or policy violations", async () => {
        for (
            const path of ["/", "/document", "/edit/mesh", "/edit/services/ledger", "/history", "/history/5", "/import"]
        ) {
            await page.goto(live.url + path);
            expect(`${path} ${await measureOverflow(page)}`).toBe(`${path} 0`);
        }
        expect(pageErrors).toEqual([]);
    });
});
