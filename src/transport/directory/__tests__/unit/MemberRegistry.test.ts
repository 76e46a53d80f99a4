import { Left, Right } from "purify-ts/Either";
import { describe, expect, it } from "vitest";
import type { Member } from "../../../../state/members/index.js";
import type { MeshStorePort, StoreError } from "../../../../state/store/index.js";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { createMember } from "../../../sessions/__tests__/fixtures/SessionManagers.js";
import { MemberRegistry } from "../../index.js";

const LOST: StoreError = { detail: "the store is away", kind: "unreachable" };

/** A store of records that fails as often as it is told. */
function createStore(records: Map<string, Member>, failures = 0) {
    const calls: string[] = [];
    const attempt = <T>(name: string, run: () => T) => {
        calls.push(name);
        return Promise.resolve(failures-- > 0 ? Left(LOST) : Right(run()));
    };
    const store = {
        deleteMember: (id: string) => attempt(`delete ${id}`, () => void records.delete(id)),
        listMembers: () => attempt("list", () => [...records.values()]),
        writeMember: (member: Member) => attempt("write", () => void records.set(member.id, member)),
    } as unknown as MeshStorePort;
    return { calls, store };
}

function createRegistry(self: Member, store: MeshStorePort, isFirstStart = false) {
    const known: string[] = [];
    const keeper = new MemberRegistry({
        isFirstStart,
        log: createSilentLogger(),
        onMemberRemoved: member => known.push(`gone ${member.id}`),
        onMemberUpdated: member => known.push(member.id),
        random: () => 0.1,
        self,
        store,
    });
    return { keeper, known };
}

describe("registration", () => {
    it("of two daemons that start together lets at least one find the other", async () => {
        const records = new Map<string, Member>();
        const pairs = ["a", "b"].map(id =>
            createRegistry(createMember(id, id === "a" ? 1 : 2), createStore(records).store, true)
        );
        await Promise.all(pairs.map(({ keeper }) => keeper.register()));
        expect(pairs.flatMap(({ known }) => known).length).toBeGreaterThanOrEqual(1);
    });

    it("goes on until the store is back, within two seconds of its return", async () => {
        const records = new Map<string, Member>();
        const { calls, store } = createStore(records, 3);
        const { keeper } = createRegistry(createMember("a", 1), store);
        await keeper.register();
        expect(keeper.isRegistered).toBe(true);
        expect(records.has("a")).toBe(true);
        expect(calls.filter(call => call === "write").length).toBe(1);
    });

    it("writes the record again when the daemon has moved", async () => {
        const records = new Map([["a", createMember("a", 1)]]);
        const { store } = createStore(records);
        await createRegistry(createMember("a", 5, 9), store).keeper.register();
        expect(records.get("a")?.peerPort).toBe(5);
    });
});

describe("records", () => {
    it("of a daemon whose address a later one has are dropped, and not taken again", () => {
        const { keeper, known } = createRegistry(createMember("self", 1), createStore(new Map()).store);
        keeper.merge([createMember("former", 7, 10)]);
        keeper.merge([createMember("newcomer", 7, 20)]);
        keeper.merge([createMember("former", 7, 10)]);
        expect(known).toEqual(["former", "gone former", "newcomer"]);
        expect(keeper.list().map(({ id }) => id)).toEqual(["self", "newcomer"]);
    });

    it("of an earlier run don't outlive the present one after the clock was set back", () => {
        const { keeper } = createRegistry(createMember("self", 1, 100), createStore(new Map()).store);
        keeper.merge([createMember("self", 1, 5_000)]);
        expect(keeper.self.incarnation).toBe(5_001);
    });

    it("of a daemon that is gone for long are dropped, in the store by a watcher only", async () => {
        const member = createMember("gone", 7);
        const { calls, store } = createStore(new Map([["gone", member]]));
        const { keeper, known } = createRegistry(createMember("self", 1), store);
        keeper.merge([member]);
        await keeper.remove(member, false);
        expect(calls).toEqual([]);
        await keeper.remove(member, true);
        expect(calls).toEqual(["delete gone"]);
        expect(known).toContain("gone gone");
        expect(keeper.list().map(({ id }) => id)).toEqual(["self"]);
    });
});
