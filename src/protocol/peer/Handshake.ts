/** Mutual HMAC challenge and response with the mesh key; see docs/design.md, 2.9. */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { MessageError } from "./FieldCodec.js";
import type { LinkRole, PeerMessage } from "./Messages.js";

/** Identity that a side of a connection states before it is authenticated. */
export interface PeerIdentity {
    readonly id: string;
    readonly region: string;
    readonly failureDomain: string;
}

/** The authenticated peer and the role of the connection. */
export interface AuthenticatedPeer extends PeerIdentity {
    readonly role: LinkRole;
}

/** Message interface of a connection during the handshake. */
export interface HandshakeChannel {
    send(message: PeerMessage): void;
    /** Resolves with the next message; rejects when the connection ends. */
    receive(): Promise<PeerMessage>;
}

const NONCE_BYTES = 16;

/** Handshake of the connecting side; rejects if the peer does not prove that it has the mesh key. */
export async function connectPeer(
    channel: HandshakeChannel,
    self: PeerIdentity,
    role: LinkRole,
    meshKey: string,
): Promise<AuthenticatedPeer> {
    const nonce = randomBytes(NONCE_BYTES).toString("base64url");
    channel.send({ kind: "hello", ...copyIdentity(self), nonce, role });
    const challenge = await expectMessage(channel, "challenge");
    verifyProof(challenge.proof, signProof(meshKey, "accept", nonce, challenge.nonce, self, challenge, role));
    channel.send({
        kind: "proof",
        proof: signProof(meshKey, "connect", nonce, challenge.nonce, self, challenge, role),
    });
    await expectMessage(channel, "welcome");
    return { ...copyIdentity(challenge), role };
}

/** Handshake of the accepting side; `welcome` is sent last, after the peer's proof was verified. */
export async function acceptPeer(
    channel: HandshakeChannel,
    self: PeerIdentity,
    meshKey: string,
): Promise<AuthenticatedPeer> {
    const hello = await expectMessage(channel, "hello");
    const nonce = randomBytes(NONCE_BYTES).toString("base64url");
    const proof = signProof(meshKey, "accept", hello.nonce, nonce, hello, self, hello.role);
    channel.send({ kind: "challenge", ...copyIdentity(self), nonce, proof });
    const answer = await expectMessage(channel, "proof");
    verifyProof(answer.proof, signProof(meshKey, "connect", hello.nonce, nonce, hello, self, hello.role));
    channel.send({ kind: "welcome" });
    return { ...copyIdentity(hello), role: hello.role };
}

function copyIdentity(from: PeerIdentity): PeerIdentity {
    return { failureDomain: from.failureDomain, id: from.id, region: from.region };
}

/** Computes a proof over both nonces, both identities and the role, so that it is valid for this handshake only. */
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
