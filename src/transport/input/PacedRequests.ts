/**
 * Parses the requests of an HTTP server in slices, so that bodies that are cut into tiny chunks take no more than their
 * share of the processor. Node.js would parse all that it has read from a connection at once.
 */
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import type { CostlyReader, CostlyReads } from "./CostlyReads.js";

/** Bytes that are parsed at a time: of chunked bodies, and of heads and other bodies. */
const CHUNKED_SLICE_BYTES = 2_048;
const SLICE_BYTES = 16_384;

type ParseData = (data: Buffer) => void;
type HandleEnd = () => void;

/** Paces the connections that `server` accepts from now on; returns a function that ends this for later ones. */
export function registerPacedRequests(server: Server, reads: CostlyReads, now: () => number): () => void {
    const connections = new WeakMap<Socket, PacedConnection>();
    const handleConnection = (socket: Socket): void => {
        // The server's own listeners were added last.
        const parse = socket.listeners("data").at(-1) as ParseData | undefined;
        const handleEnd = socket.listeners("end").at(-1) as HandleEnd | undefined;
        if (parse !== undefined && handleEnd !== undefined) {
            socket.off("data", parse);
            socket.off("end", handleEnd);
            connections.set(socket, new PacedConnection(socket, parse, handleEnd, reads, now));
        }
    };
    const handleRequest = (request: IncomingMessage): void => {
        if (request.headers["transfer-encoding"] !== undefined) {
            connections.get(request.socket)?.beginChunkedBody(request);
        }
    };
    server.on("connection", handleConnection);
    server.prependListener("request", handleRequest);
    server.prependListener("checkContinue", handleRequest);
    return () => {
        server.off("connection", handleConnection);
        server.off("request", handleRequest);
        server.off("checkContinue", handleRequest);
    };
}

class PacedConnection implements CostlyReader {
    readonly #socket: Socket;
    readonly #parse: ParseData;
    readonly #handleEnd: HandleEnd;
    readonly #reads: CostlyReads;
    readonly #now: () => number;
    /** Bytes that were read from the socket and wait to be parsed. */
    #unparsed: Buffer | undefined;
    #chunkedRequest: IncomingMessage | undefined;
    #isWaitingForShare = false;
    #hasEnded = false;
    #workMs = 0;

    constructor(socket: Socket, parse: ParseData, handleEnd: HandleEnd, reads: CostlyReads, now: () => number) {
        this.#socket = socket;
        this.#parse = parse;
        this.#handleEnd = handleEnd;
        this.#reads = reads;
        this.#now = now;
        socket.on("data", (data: Buffer) => this.#handleData(data));
        // The end is told also to a paused socket.
        socket.on("end", () => {
            this.#hasEnded = true;
            this.#endIfParsed();
        });
        // The server resumes the socket when a request's body is wanted, also while parts of it wait here.
        socket.on("resume", () => {
            if (this.#isWaitingForShare) {
                socket.pause();
            }
        });
        socket.on("close", () => {
            this.#unparsed = undefined;
            reads.cancel(this);
        });
    }

    get source(): string {
        return `the body of a request to ${this.#chunkedRequest?.url ?? "-"}`;
    }

    get workMs(): number {
        return this.#workMs;
    }

    beginChunkedBody(request: IncomingMessage): void {
        this.#chunkedRequest = request;
        this.#workMs = 0;
    }

    readOn(): void {
        this.#isWaitingForShare = false;
        this.#parseUnparsed();
        if (!this.#isWaitingForShare) {
            this.#socket.resume();
            this.#endIfParsed();
        }
    }

    #endIfParsed(): void {
        if (this.#hasEnded && this.#unparsed === undefined && !this.#socket.destroyed) {
            this.#handleEnd();
        }
    }

    #handleData(data: Buffer): void {
        this.#unparsed = this.#unparsed === undefined ? data : Buffer.concat([this.#unparsed, data]);
        if (!this.#isWaitingForShare) {
            this.#parseUnparsed();
        }
    }

    #parseUnparsed(): void {
        let isFirst = true;
        while (this.#unparsed !== undefined && !this.#socket.destroyed) {
            const isChunked = this.#isInChunkedBody();
            if (isChunked && !this.#reads.isFree(this)) {
                this.#isWaitingForShare = true;
                this.#socket.pause();
                this.#reads.enqueue(this);
                return;
            }
            const bytes = isChunked || isFirst ? CHUNKED_SLICE_BYTES : SLICE_BYTES;
            isFirst = false;
            const slice = this.#unparsed.subarray(0, bytes);
            this.#unparsed = this.#unparsed.length > bytes ? this.#unparsed.subarray(bytes) : undefined;
            const startedAt = this.#now();
            this.#parse(slice);
            if (isChunked) {
                const workMs = this.#now() - startedAt;
                this.#reads.charge(workMs, this.#workMs);
                this.#workMs += workMs;
            }
        }
    }

    #isInChunkedBody(): boolean {
        if (this.#chunkedRequest?.complete === true) {
            this.#chunkedRequest = undefined;
        }
        return this.#chunkedRequest !== undefined;
    }
}
