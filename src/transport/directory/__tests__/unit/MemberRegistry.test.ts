import { Left, Right } from "purify-ts/Either";
import { describe, expect, it } from "vitest";
import { memberCodec, MessageError } from "../../../../protocol/peer/index.js";
import type { Member } from "../../../../state/members/index.js";
import type { MeshStorePort, StoreError } from "../../../../state/store/index.js";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { createMember } from "../../../sessions/__tests__/fixtures/SessionManagers.js";
import { realTimers } from "../../../timers/index.js";
import { MemberRegistry } from "../../index.js";

const UNREACHABLE: StoreError = { detail: "the store is unreachable", kind: "unreachable" };

/** A store of member records whose first `failures` calls fail. */
function createStore(records: Map<string, Member>, failures = 0) {
    const calls: string[] = [];
    const attempt = <T>(name: string, run: () => T) => {
        calls.push(name);
        return Promise.resolve(failures-- > 0 ? Left(UNREACHABLE) : Right(run()));
    };
    const store = {
        readEra: () => 0,
        deleteMember: (id: string) => attempt(`delete ${id}`, () => void records.delete(id)),
        listMembers: () => attempt("list", () => [...records.values()]),
        writeMember: (member: Member) => attempt("write", () => void records.set(member.id, member)),
    } as unknown as MeshStorePort;
    return { calls, store };
}

function createRegistry(self: Member, store: MeshStorePort, isFirstStart = false) {
    const changes: string[] = [];
    const registry = new MemberRegistry({
        firstListingDelayMs: 0,
        isFirstStart,
        log: createSilentLogger(),
        onMemberLeft: member => changes.push(`left ${member.id}`),
        onMemberRemoved: member => changes.push(`gone ${member.id}`),
        onMemberUpdated: member => changes.push(member.id),
        onRegistered: () => changes.push("registered"),
        random: () => 0.1,
        self,
        store,
        timers: realTimers,
    });
    return { registry, changes };
}

/** Guards against daemons that never find each other, and against a registration that gives up during an outage. */
describe("registration", () => {
    it("lets at least one of two daemons that start together find the other", async () => {
        const records = new Map<string, Member>();
        const daemons = ["a", "b"].map(id =>
            createRegistry(createMember(id, id === "a" ? 1 : 2), createStore(records).store, true)
        );
        await Promise.all(daemons.map(({ registry }) => registry.register()));
        expect(daemons.flatMap(({ changes }) => changes).length).toBeGreaterThanOrEqual(1);
    });

    it("is retried until the store answers again, and writes the record once", async () => {
        const records = new Map<string, Member>();
        const { calls, store } = createStore(records, 3);
        const { registry } = createRegistry(createMember("a", 1), store);
        await registry.register();
        expect(registry.isRegistered).toBe(true);
        expect(records.has("a")).toBe(true);
        expect(calls.filter(call => call === "write").length).toBe(1);
    });

    // Guards against a daemon that is out of service for seconds at its start for each answer that is lost.
    it("waits for an answer first for 0.4 s, and longer after each one that was missed", async () => {
        const timeouts: (number | undefined)[] = [];
        const silentStore = {
            listMembers: (timeoutMs?: number) => {
                timeouts.push(timeoutMs);
                return Promise.resolve(
                    timeouts.length > 4 ? Right([]) : Left({ detail: "no answer", kind: "unknown" }),
                );
            },
            readEra: () => 0,
            writeMember: (_member: Member, timeoutMs?: number) => {
                timeouts.push(timeoutMs);
                return Promise.resolve(Right(undefined));
            },
        } as unknown as MeshStorePort;
        await createRegistry(createMember("a", 1), silentStore).registry.register();
        expect(timeouts.slice(0, 5)).toEqual([400, 800, 1_600, 2_000, 2_000]);
    });

    // Guards against decisions on who watches the store that are taken before the others are counted.
    it("is told once the records of the others are in the table", async () => {
        const records = new Map([["other", createMember("other", 7)]]);
        const { changes, registry } = createRegistry(createMember("a", 1), createStore(records, 1).store);
        await registry.register();
        expect(changes).toEqual(["other", "registered"]);
    });

    it("writes the record again when the address of the daemon has changed", async () => {
        const records = new Map([["a", createMember("a", 1)]]);
        const { store } = createStore(records);
        await createRegistry(createMember("a", 5, 9), store).registry.register();
        expect(records.get("a")?.peerPort).toBe(5);
    });
});

/** Guards against stale records, which lead to connections to daemons that no longer exist. */
describe("member records", () => {
    it("are removed when a later daemon has the same address, and not added again", () => {
        const { registry, changes } = createRegistry(createMember("self", 1), createStore(new Map()).store);
        registry.merge([createMember("former", 7, 10)]);
        registry.merge([createMember("newcomer", 7, 20)]);
        registry.merge([createMember("former", 7, 10)]);
        expect(changes).toEqual(["former", "gone former", "newcomer"]);
        expect(registry.list().map(({ id }) => id)).toEqual(["self", "newcomer"]);
    });

    it("of an earlier run with a higher incarnation raise the own incarnation above theirs", () => {
        const { registry } = createRegistry(createMember("self", 1, 100), createStore(new Map()).store);
        registry.merge([createMember("self", 1, 5_000)]);
        expect(registry.self.incarnation).toBe(5_001);
    });

    // Guards against an own record that no other daemon accepts any more.
    it("with the highest incarnation that is accepted leave room for the own one", () => {
        const { registry } = createRegistry(createMember("self", 1, 100), createStore(new Map()).store);
        const encoded = memberCodec.encode(createMember("self", 1, Number.MAX_SAFE_INTEGER));
        expect(() => memberCodec.decode(encoded, "record")).toThrow(MessageError);
        registry.merge([createMember("self", 1, 2 ** 49)]);
        const own = memberCodec.decode(memberCodec.encode(registry.self), "record");
        expect(own.incarnation).toBe(2 ** 49 + 1);
    });

    it("of an unreachable daemon are removed, and deleted from the store only on request", async () => {
        const member = createMember("gone", 7);
        const { calls, store } = createStore(new Map([["gone", member]]));
        const { registry, changes } = createRegistry(createMember("self", 1), store);
        registry.merge([member]);
        await registry.remove(member, false);
        expect(calls).toEqual([]);
        await registry.remove(member, true);
        expect(calls).toEqual(["delete gone"]);
        expect(changes).toContain("gone gone");
        expect(registry.list().map(({ id }) => id)).toEqual(["self"]);
    });
});
