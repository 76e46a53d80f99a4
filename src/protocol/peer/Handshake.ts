/** Mutual HMAC challenge and response with the mesh key; see docs/design.md, 2.9. */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { MessageError } from "./FieldCodec.js";
import type { LinkRole, PeerMessage } from "./Messages.js";

/** What each side of a connection says of itself before it is authenticated. */
export interface PeerIdentity {
    readonly id: string;
    readonly region: string;
    readonly failureDomain: string;
}

/** The authenticated other side. */
export interface AuthenticatedPeer extends PeerIdentity {
    readonly role: LinkRole;
}

/** What a handshake needs of a connection. */
export interface HandshakeChannel {
    send(message: PeerMessage): void;
    /** The next message; rejects when the connection ends. */
    receive(): Promise<PeerMessage>;
}

const NONCE_BYTES = 16;

/** Connecting side. Rejects when the other side does not prove that it has the key. */
export async function connectPeer(
    channel: HandshakeChannel,
    self: PeerIdentity,
    role: LinkRole,
    meshKey: string,
): Promise<AuthenticatedPeer> {
    const nonce = randomBytes(NONCE_BYTES).toString("base64url");
    channel.send({ kind: "hello", ...pickIdentity(self), nonce, role });
    const challenge = await expectMessage(channel, "challenge");
    verifyProof(challenge.proof, signProof(meshKey, "accept", nonce, challenge.nonce, self, challenge, role));
    channel.send({
        kind: "proof",
        proof: signProof(meshKey, "connect", nonce, challenge.nonce, self, challenge, role),
    });
    await expectMessage(channel, "welcome");
    return { ...pickIdentity(challenge), role };
}

/** Accepting side; `welcome` is sent last, after the other side's proof was checked. */
export async function acceptPeer(
    channel: HandshakeChannel,
    self: PeerIdentity,
    meshKey: string,
): Promise<AuthenticatedPeer> {
    const hello = await expectMessage(channel, "hello");
    const nonce = randomBytes(NONCE_BYTES).toString("base64url");
    const proof = signProof(meshKey, "accept", hello.nonce, nonce, hello, self, hello.role);
    channel.send({ kind: "challenge", ...pickIdentity(self), nonce, proof });
    const answer = await expectMessage(channel, "proof");
    verifyProof(answer.proof, signProof(meshKey, "connect", hello.nonce, nonce, hello, self, hello.role));
    channel.send({ kind: "welcome" });
    return { ...pickIdentity(hello), role: hello.role };
}

function pickIdentity(from: PeerIdentity): PeerIdentity {
    return { failureDomain: from.failureDomain, id: from.id, region: from.region };
}

/** The proof covers both nonces, both identities and the role, so it cannot be reused elsewhere. */
function signProof(
    meshKey: string,
    side: "accept" | "connect",
    nonce: string,
    otherNonce: string,
    connecting: PeerIdentity,
    accepting: PeerIdentity,
    role: LinkRole,
): string {
    const identities = [connecting, accepting].flatMap(peer => [peer.id, peer.failureDomain, peer.region]);
    return createHmac("sha256", meshKey)
        .update(JSON.stringify(["papayaturn-peer", side, nonce, otherNonce, ...identities, role]))
        .digest("base64url");
}

function verifyProof(given: string, expected: string): void {
    const a = Buffer.from(given);
    const b = Buffer.from(expected);
    if (a.length !== b.length || !timingSafeEqual(a, b)) {
        throw new MessageError("the other side does not have the mesh key");
    }
}

async function expectMessage<K extends PeerMessage["kind"]>(
    channel: HandshakeChannel,
    kind: K,
): Promise<Extract<PeerMessage, { readonly kind: K; }>> {
    const message = await channel.receive();
    if (message.kind !== kind) {
        throw new MessageError(`expected ${kind}, received ${message.kind}`);
    }
    return message as Extract<PeerMessage, { readonly kind: K; }>;
}
