import { expect, test } from "vitest";
import { decodeMessage, encodeMessage, LinkRole, PeerSession } from "../../../../protocol/peer/index.js";
import type { MessageOf, PeerMessage } from "../../../../protocol/peer/index.js";
import { MemberState } from "../../../../state/members/index.js";
import { createDocument, MESH_KEY, startConverged } from "../support/VirtualMesh.js";
import type { VirtualMesh } from "../support/VirtualMesh.js";

const ATTACKER = { failureDomain: "erie-a", id: "erie-a-9", region: "erie" };
const UNUSED_PORT = 9;

function openSession(mesh: VirtualMesh, meshKey: string): PeerSession {
    const connection = mesh.network.connect(UNUSED_PORT, mesh.get("erie-a-1").peerPort);
    return new PeerSession(connection, {
        recordReceived: () => undefined,
        recordSent: () => undefined,
        deliver: (frame, _, send) => send(frame),
        meshKey,
        self: ATTACKER,
    });
}

// Guards against a process without the mesh key that reads member records or injects versions.
test("a process without the mesh key fails the handshake", async () => {
    const mesh = await startConverged(2);
    const session = openSession(mesh, "another key");
    const handshake = session.connect(LinkRole.Neighbour).then(() => "linked", (error: unknown) => String(error));
    await mesh.time.advance(5_000);
    expect(await handshake).toBe("MessageError: the other side does not have the mesh key");
});

// Guards against a peer that skips the handshake or sends invalid frames.
test.each([
    ["a message without handshake", encodeMessage({ kind: "release", version: 99, witnessed: true })],
    ["a malformed frame", Buffer.from([0, 0xC1])],
    ["a frame that is too large", Buffer.alloc(2_000_000)],
])("%s closes the connection and leaves the version in force unchanged", async (_, frame) => {
    const mesh = await startConverged(2);
    const connection = mesh.network.connect(UNUSED_PORT, mesh.get("erie-a-1").peerPort);
    connection.send(frame);
    const ended = connection.frames.next().then(result => result.done);
    await mesh.time.advance(5_000);
    expect(await ended).toBe(true);
    expect(mesh.listVersions()).toEqual([1]);
});

// Guards against versions that the store never accepted: forged newer ones, and replayed older ones.
test("a forged newer version and a replayed older version do not come into force", async () => {
    const mesh = await startConverged(2);
    const updates: MessageOf<"update">[] = [];
    mesh.network.alterFrame = frame => {
        const message = decodeMessage(frame);
        if (message.kind === "update") {
            updates.push(message);
        }
        return [{ delayMs: 0, frame }];
    };
    mesh.accept(createDocument("2"));
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(2), 5_000);
    const [older] = updates;
    mesh.accept(createDocument("3"));
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(3), 5_000);
    const newer = updates.at(-1);
    if (older === undefined || newer === undefined) {
        throw new Error("no update message was sent");
    }
    const session = openSession(mesh, MESH_KEY);
    const handshake = session.connect(LinkRole.Neighbour);
    await mesh.time.advance(100);
    await handshake;
    session.send(older);
    session.send({ ...newer, fromRoot: "", manifest: { ...newer.manifest, version: 4 } });
    session.send({ kind: "release", version: 4, witnessed: true });
    await mesh.time.advance(5_000);
    expect(mesh.listVersions()).toEqual([3]);
    expect(mesh.logLines.filter(line => line.includes("not signed with the mesh key")).length).toBeGreaterThan(0);
    mesh.accept(createDocument("4"));
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(4), 5_000);
});

type AlterUpdate = (update: MessageOf<"update">) => PeerMessage;

// Guards against a delta that is applied partially or with content that was never accepted (P3).
test.each<[string, AlterUpdate]>([
    ["changed content", update => ({
        ...update,
        changed: update.changed.map(resource => ({ ...resource, content: resource.content.replace("2", "9") })),
    })],
    ["a missing resource", update => ({ ...update, changed: update.changed.slice(1) })],
    ["a resource removed that should stay", update => ({ ...update, removed: ["route/status-desk"] })],
    ["another root", update => ({ ...update, manifest: { ...update.manifest, root: "0".repeat(64) } })],
])("an update with %s is dropped and requested again", async (_, alter) => {
    const mesh = await startConverged(3);
    let altered = 0;
    mesh.network.alterFrame = frame => {
        const message = decodeMessage(frame);
        const isAltered = message.kind === "update" && altered < 4;
        altered += isAltered ? 1 : 0;
        return [{ delayMs: 0, frame: isAltered ? encodeMessage(alter(message)) : frame }];
    };
    const notes = new Set<string | undefined>();
    mesh.list().forEach(node =>
        node.subscribeView(view => notes.add(view.configuration?.document.resources["note"]?.text))
    );
    mesh.accept(createDocument("2"));
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(2), 20_000);
    expect(altered).toBe(4);
    expect(mesh.logLines.filter(line => line.includes("update dropped")).length).toBeGreaterThan(0);
    expect([...notes].filter(note => note !== "1" && note !== "2")).toEqual([]);
});

// Guards against a live daemon that stays listed as dead because of another daemon's record.
test("a live daemon that is reported dead refutes it with a higher incarnation", async () => {
    const mesh = await startConverged(2);
    const record = mesh.get("erie-a-1").readView().members.get("erie-b-2");
    if (record === undefined) {
        throw new Error("member erie-b-2 is not in the view of erie-a-1");
    }
    const session = openSession(mesh, MESH_KEY);
    const handshake = session.connect(LinkRole.Neighbour);
    await mesh.time.advance(100);
    await handshake;
    session.send({ kind: "members", records: [{ ...record, state: MemberState.Dead }], services: [] });
    await mesh.time.advance(5_000);
    const views = mesh.list().map(node => node.readView().members.get("erie-b-2"));
    expect(views.every(member => member?.state === MemberState.Live && member.incarnation > record.incarnation)).toBe(
        true,
    );
});
