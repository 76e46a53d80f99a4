import type { ClaimOutcome } from "../../index.js";

import { expect, test } from "vitest";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { createAnswer, createTestClaimManager, HOUR_MS } from "../fixtures/ClaimManagers.js";
import { createFakeStore, createFaultPlan } from "../fixtures/FakeStore.js";
import { createVirtualTime } from "../fixtures/VirtualTime.js";

// Guards against a second execution after a crash between the claim and the answer, and against
// unintended changes in the order of store calls.
test("a repeated key is answered after completion and unknown after a crash, also on another daemon", async () => {
    const time = createVirtualTime();
    const store = createFakeStore(createFaultPlan());
    const lines: string[] = [];
    const recordOutcome = async (text: string, claim: Promise<ClaimOutcome | void>): Promise<string> => {
        const outcome = await time.run(claim);
        const answer = outcome?.kind === "answered" ? { answer: Buffer.from(outcome.answer.body).toString() } : {};
        lines.push(...store.trace.splice(0), `${text} -> ${JSON.stringify({ ...outcome, ...answer })}`);
        return outcome?.kind === "granted" ? outcome.attempt : "";
    };
    const first = createTestClaimManager(store, time);
    const attempt = await recordOutcome(
        "first: claim deposit-1",
        first.claim("ledger", "deposit-1", time.now() + 1_000),
    );
    await recordOutcome("first: complete", first.complete("ledger", "deposit-1", attempt, createAnswer("deposit 40")));
    await recordOutcome("first: repeat deposit-1", first.claim("ledger", "deposit-1", time.now() + 1_000));
    await recordOutcome("first: claim deposit-2", first.claim("ledger", "deposit-2", time.now() + 1_000));
    first.stop();
    const restarted = createTestClaimManager(store, time, { random: createSeededRandom(2) });
    await recordOutcome("restarted: repeat deposit-2", restarted.claim("ledger", "deposit-2", time.now() + 1_000));
    const other = createTestClaimManager(store, time, { executor: "erie-b-1", random: createSeededRandom(3) });
    await recordOutcome("other: repeat deposit-1", other.claim("ledger", "deposit-1", time.now() + 1_000));
    await recordOutcome("other: repeat deposit-2", other.claim("ledger", "deposit-2", time.now() + 1_000));
    await expect(lines.join("\n") + "\n").toMatchFileSnapshot("golden/claim-session.txt");
});

// Guards against a key that stays blocked after an outage in which its claim was reported as refused.
test("a claim whose store answer was lost is refused at the deadline and released after the outage", async () => {
    const time = createVirtualTime();
    let isDown = false;
    const store = createFakeStore(createFaultPlan((operation, key) => {
        if (operation === "put" && key === "claims/0" && !isDown) {
            isDown = true;
            return "lost-answer";
        }
        return isDown ? "unreachable" : "none";
    }));
    const claimManager = createTestClaimManager(store, time);
    const refused = await time.run(claimManager.claim("ledger", "deposit-1", time.now() + 500));
    expect(refused.kind).toBe("refused");
    expect(store.objects.get("claims/0")?.value).toContain("claimed");
    isDown = false;
    const plain = store.withPlan(createFaultPlan());
    const other = createTestClaimManager(plain, time, { executor: "erie-b-1", random: createSeededRandom(3) });
    await time.run(time.wait(3_000));
    expect(store.objects.get("claims/0")?.value).toContain("released");
    expect((await time.run(other.claim("ledger", "deposit-1", time.now() + 500))).kind).toBe("granted");
});

// Guards against refusing a key as not run although this daemon knows that it ran.
test("during a store outage new keys are refused and keys completed on the same daemon are answered", async () => {
    const time = createVirtualTime();
    let isDown = false;
    const store = createFakeStore(createFaultPlan(() => isDown ? "unreachable" : "none"));
    const claimManager = createTestClaimManager(store, time);
    const granted = await time.run(claimManager.claim("ledger", "deposit-1", time.now() + 500));
    isDown = true;
    void claimManager.complete(
        "ledger",
        "deposit-1",
        granted.kind === "granted" ? granted.attempt : "",
        createAnswer("ok"),
    );
    expect((await time.run(claimManager.claim("ledger", "deposit-2", time.now() + 500))).kind).toBe("refused");
    expect((await time.run(claimManager.claim("ledger", "deposit-1", time.now() + 500))).kind).toBe("answered");
});

// Guards against early expiry after a jump of the wall clock: only time that daemons observed may expire a claim.
test("claims in the tail and in sealed objects are kept for the retention time and removed after it", async () => {
    const time = createVirtualTime();
    const store = createFakeStore(createFaultPlan());
    const claimManager = createTestClaimManager(store, time, {
        readSettings: () => ({ shards: 1, retentionMs: HOUR_MS, answerBytes: 4_096 }),
    });
    const claim = (key: string) => time.run(claimManager.claim("ledger", key, time.now() + 5_000));
    for (let index = 0; index < 40; index += 1) {
        const granted = await claim(`key-${index}`);
        expect(granted.kind).toBe("granted");
        const attempt = granted.kind === "granted" ? granted.attempt : "";
        await time.run(claimManager.complete("ledger", `key-${index}`, attempt, createAnswer("x".repeat(3_000))));
    }
    const countSealed = (): number => [...store.objects.keys()].filter(key => key.includes("sealed")).length;
    expect(countSealed()).toBe(2);
    expect((await claim("key-0")).kind).toBe("answered");
    const late = createTestClaimManager(store, time, { executor: "erie-b-1", now: () => time.now() + 48 * HOUR_MS });
    const result = await time.run(late.claim("ledger", "key-1", time.now() + 48 * HOUR_MS + 5_000));
    expect(result.kind).toBe("answered");
    await time.run(time.wait(HOUR_MS));
    expect((await claim("key-0")).kind).toBe("granted");
    await time.run(time.wait(1_000));
    expect(countSealed()).toBe(0);
});
