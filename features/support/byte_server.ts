/**
 * Server over plain sockets that writes given bytes and ends the connection in a given way.
 *
 * @module
 */

import { createServer, type Server, type Socket } from "node:net";

/** Time between the end of a connection and its reset, in milliseconds. */
const LATE_RESET_MS = 20;

/** How a server ends a connection after its last byte. */
export enum ConnectionEnd {
    /** Closes it. */
    Close = "closed",
    /** Closes it in a later turn of the event loop than it writes the last byte. */
    LateClose = "closed later",
    /** Resets it. */
    Reset = "reset",
    /** Closes it, and resets it 20 ms later. */
    LateReset = "closed, and reset 20 ms later",
    /** Leaves it open. */
    Open = "left open",
}

/** Answer to one request: bytes as Latin-1 text, and what follows them. */
export interface ByteAnswer {
    readonly bytes: string;
    readonly end: ConnectionEnd;
}

/** Answers each request with the bytes that a function returns for it. */
export class ByteServer {
    /** Heads of the requests that have arrived, for each connection. */
    readonly headsByConnection: string[][] = [];
    private readonly sockets = new Set<Socket>();
    private readonly server: Server;

    /**
     * @param answer Returns the answer to the request with the given head.
     * @param answersEarly Whether it answers a request once its head has arrived, and reads nothing more on its connection.
     */
    constructor(private readonly answer: (head: string) => ByteAnswer, private readonly answersEarly = false) {
        this.server = createServer({ noDelay: true }, socket => this.handleConnection(socket));
    }

    /** Listens on a free loopback port. */
    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
    }

    /** IP address and port. */
    get address(): string {
        const address = this.server.address();
        return `127.0.0.1:${typeof address === "object" && address ? address.port : 0}`;
    }

    /** Stops listening and closes all connections. */
    close(): void {
        this.server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    private handleConnection(socket: Socket): void {
        let received = "";
        const heads: string[] = [];
        this.headsByConnection.push(heads);
        this.sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("data", data => {
            received += data.toString("latin1");
            const headEnd = received.indexOf("\r\n\r\n");
            const length = Number(/\r\ncontent-length: (\d+)/i.exec(received)?.[1] ?? 0);
            if (headEnd < 0 || !this.answersEarly && received.length < headEnd + 4 + length) {
                return;
            }
            const head = received.slice(0, headEnd);
            received = "";
            heads.push(head);
            if (this.answersEarly) {
                socket.pause();
            }
            writeAnswer(socket, this.answer(head));
        });
    }
}

function writeAnswer(socket: Socket, { bytes, end }: ByteAnswer): void {
    switch (end) {
        case ConnectionEnd.Close:
            socket.end(bytes, "latin1");
            return;
        case ConnectionEnd.LateClose:
            socket.write(bytes, "latin1", () => setTimeout(() => socket.end(), 2));
            return;
        case ConnectionEnd.Reset:
            socket.write(bytes, "latin1", () => socket.resetAndDestroy());
            return;
        case ConnectionEnd.LateReset:
            socket.end(bytes, "latin1", () => setTimeout(() => socket.resetAndDestroy(), LATE_RESET_MS));
            return;
        case ConnectionEnd.Open:
            socket.write(bytes, "latin1");
            return;
    }
}
