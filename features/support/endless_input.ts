/**
 * Input without end, in pieces of a given size.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from "node:net";

/** Prefix of the ids of the calls that are answered without end. */
export const ENDLESS_ID = "endless-";

/** Contents that are repeated without end, by what they are. */
const CONTENTS: Readonly<Record<string, string>> = {
    "a body": "x",
    "an event": "data: x\n",
    "events": "data\n\n",
    "comments": ":\n\n",
};

/** Bytes on the wire of one write, at least. */
const WRITE_BYTES = 65_536;

/** Time that a call takes which is answered properly, in milliseconds. */
const PROCESSING_MS = 50;

/** Formats pieces of a content as HTTP chunks (RFC 9112, section 7.1), enough for one write. */
export function formatPieces(content: string, pieceBytes: number): Buffer {
    const repeated = CONTENTS[content] ?? content;
    const period = repeated.repeat(Math.ceil(WRITE_BYTES / repeated.length));
    const pieces: string[] = [];
    let bytes = 0;
    for (let at = 0; bytes < WRITE_BYTES || at % repeated.length !== 0; at += pieceBytes) {
        const start = at % repeated.length;
        const piece = period.slice(start, start + pieceBytes).padEnd(pieceBytes, repeated);
        pieces.push(`${pieceBytes.toString(16)}\r\n${piece}\r\n`);
        bytes += pieceBytes;
    }
    return Buffer.from(pieces.join(""), "latin1");
}

/** Writes bytes again and again until the connection closes or a signal is aborted. */
export function writeWithoutEnd(socket: Socket, bytes: Buffer, signal: AbortSignal): void {
    const write = () => {
        while (bytes.length > 0 && !socket.destroyed && !signal.aborted) {
            if (!socket.write(bytes)) {
                return;
            }
        }
    };
    socket.on("drain", write);
    signal.addEventListener("abort", () => socket.destroy(), { once: true });
    write();
}

/** Sends the head of a call and then its body without end, and reads what is answered until the connection closes. */
export function sendWithoutEnd(address: string, head: string, bytes: Buffer, signal: AbortSignal): Promise<void> {
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.on("error", () => socket.destroy());
    socket.resume();
    socket.write(head);
    writeWithoutEnd(socket, bytes, signal);
    return new Promise(resolve => socket.on("close", () => resolve()));
}

/** Server, or other node, that answers calls whose id begins with {@linkcode ENDLESS_ID} without end, and all others properly. */
export class EndlessServer {
    private readonly sockets = new Set<Socket>();
    private readonly stopped = new AbortController();
    private readonly server: Server = createServer({ noDelay: true }, socket => this.handleConnection(socket));

    /**
     * @param id Id under which the server registers.
     * @param bytes Bytes that are repeated without end after the head of an answer in chunks; none for a server that is sound.
     */
    constructor(readonly id: string, private readonly bytes: Buffer) {}

    /** Listens on a free loopback port. */
    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
    }

    /** IP address and port. */
    get address(): string {
        const address = this.server.address();
        return `127.0.0.1:${typeof address === "object" && address ? address.port : 0}`;
    }

    /** Returns the store entry that registers the server. */
    serverEntry(service: string, changes: Readonly<Record<string, unknown>> = {}): Record<string, unknown> {
        return {
            Service: service,
            Address: this.address,
            Zone: "zone-a",
            Version: "v1",
            State: "ready",
            ColdRemainingMs: 0,
            Sequence: 1,
            born: 1_000,
            ...changes,
        };
    }

    /** Stops listening and closes all connections. */
    close(): void {
        this.stopped.abort();
        this.server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    private handleConnection(socket: Socket): void {
        let received = "";
        this.sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("data", data => {
            received += data.toString("latin1");
            const headEnd = received.indexOf("\r\n\r\n");
            const length = Number(/\r\ncontent-length: (\d+)/i.exec(received)?.[1] ?? 0);
            if (headEnd < 0 || received.length < headEnd + 4 + length) {
                return;
            }
            const id = /\r\n(?:request-id|foxtailrail-call): (\S+)/i.exec(received)?.[1] ?? "";
            received = "";
            this.answer(socket, id);
        });
    }

    private answer(socket: Socket, id: string): void {
        const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: seal\r\n`;
        if (id.startsWith(ENDLESS_ID) && this.bytes.length > 0) {
            socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
            writeWithoutEnd(socket, this.bytes, this.stopped.signal);
            return;
        }
        // The calls that others answer without end may be streams, which end with an event.
        const body = id.startsWith(ENDLESS_ID) ? "data: sound\n\n" : "sound";
        setTimeout(() => socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`), PROCESSING_MS);
    }
}
