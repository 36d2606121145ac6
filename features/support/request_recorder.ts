/**
 * Server over plain sockets that records each byte of requests, and answers when and as a test says.
 *
 * @module
 */

import { createServer, type Server, type Socket } from "node:net";

/** Bytes between the head and the body of a request. */
const HEAD_END = "\r\n\r\n";

/** Returns the body of a request with a given id and length: its id, repeated. */
export function bodyOf(id: string, bytes: number): Buffer {
    return Buffer.alloc(bytes, `${id}.`);
}

/** Request of which at least one byte has arrived. */
export interface RecordedRequest {
    /** Last part of its path; `undefined` if the bytes do not name one. */
    readonly id: string | undefined;
    readonly isComplete: boolean;
    /** Whether the bytes of its body are those of its id. */
    readonly isIntact: boolean;
}

/** One connection and the bytes that arrived on it. */
export class RecordedConnection {
    /** Requests whose head has arrived and that are not answered. */
    unanswered = 0;
    private received = Buffer.alloc(0);
    private headsSeen = 0;

    /** @param socket Socket of the connection. */
    constructor(readonly socket: Socket) {}

    /** Adds bytes and returns the requests whose heads have arrived with them. */
    add(bytes: Buffer): readonly RecordedRequest[] {
        this.received = Buffer.concat([this.received, bytes]);
        const withHead = this.requests.filter(({ id }) => id !== undefined);
        const fresh = withHead.slice(this.headsSeen);
        this.headsSeen = withHead.length;
        this.unanswered += fresh.length;
        return fresh;
    }

    /** Everything that has arrived, as requests. */
    get requests(): readonly RecordedRequest[] {
        const requests: RecordedRequest[] = [];
        for (let from = 0; from < this.received.length;) {
            const headEnd = this.received.indexOf(HEAD_END, from);
            const head = this.received.toString("latin1", from, headEnd < 0 ? this.received.length : headEnd);
            const id = /^POST \/([\w-]+) HTTP\/1\.1\r\n/.exec(head)?.[1];
            if (headEnd < 0 || id === undefined) {
                requests.push({ id, isComplete: false, isIntact: headEnd < 0 });
                return requests;
            }
            const length = Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? 0);
            const bodyStart = headEnd + HEAD_END.length;
            const body = this.received.subarray(bodyStart, bodyStart + length);
            const isIntact = body.equals(bodyOf(id, length).subarray(0, body.length));
            requests.push({ id, isComplete: body.length === length, isIntact });
            from = bodyStart + length;
        }
        return requests;
    }

    /** Writes an answer, or other bytes. */
    write(text: string): void {
        this.unanswered = 0;
        this.socket.write(text, "latin1");
    }
}

/** Records all connections to one port. */
export class RequestRecorder {
    readonly connections: RecordedConnection[] = [];
    /** Called for each request as soon as its head has arrived. */
    onHead: (connection: RecordedConnection, id: string) => void = () => undefined;
    private readonly server: Server = createServer({ noDelay: true }, socket => this.handleConnection(socket));

    /** Listens on a free loopback port. */
    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
    }

    /** IP address and port. */
    get address(): string {
        const address = this.server.address();
        return `127.0.0.1:${typeof address === "object" && address ? address.port : 0}`;
    }

    /** Connections that are open. */
    get open(): readonly RecordedConnection[] {
        return this.connections.filter(({ socket }) => !socket.destroyed);
    }

    /** Everything that has arrived, as requests. */
    get requests(): readonly RecordedRequest[] {
        return this.connections.flatMap(({ requests }) => requests);
    }

    /** Stops listening and closes all connections. */
    close(): void {
        this.server.close();
        for (const { socket } of this.connections) {
            socket.destroy();
        }
    }

    private handleConnection(socket: Socket): void {
        const connection = new RecordedConnection(socket);
        this.connections.push(connection);
        // How a connection ends does not matter.
        socket.on("error", () => undefined);
        socket.on("data", bytes => {
            for (const { id = "" } of connection.add(bytes)) {
                this.onHead(connection, id);
            }
        });
    }
}

/** Formats an answer. */
export function formatAnswer(id: string, status = 200, headers: readonly string[] = []): string {
    const lines = [`HTTP/1.1 ${status} Status`, `Request-Id: ${id}`, ...headers, "Content-Length: 2"];
    return `${lines.join("\r\n")}${HEAD_END}ok`;
}
