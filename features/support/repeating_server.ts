/**
 * HTTP server that sends its last answer on a connection once more before the next one.
 *
 * @module
 */

import { createServer, type Server, type Socket } from "node:net";

/** Answer of a {@linkcode RepeatingServer}. */
export interface RepeatedAnswer {
    /** Answer to a call, by its id. */
    readonly format: (id: string) => string;
    /** Bytes with which an answer is sent once more. */
    readonly copy: (answer: string) => string;
    /** Answer to every other call, which does not run; all calls run without one. */
    readonly formatRefusal?: (id: string) => string;
}

/** Serves calls on plain sockets. */
export class RepeatingServer {
    /** Ids of the calls that were run. */
    readonly runIds: string[] = [];
    /** Answers that were sent once more. */
    copies = 0;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private calls = 0;

    /**
     * @param answer See {@linkcode RepeatedAnswer}.
     * @param readId Returns the id of a call from its request; `undefined` until the request is complete.
     */
    constructor(private readonly answer: RepeatedAnswer, private readonly readId: (request: Buffer) => string | undefined) {
        this.server = createServer(socket => this.handleConnection(socket));
    }

    /** Starts listening on loopback. */
    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen({ host: "127.0.0.1", port: 0 }, resolve));
    }

    /** Host and port. */
    get address(): string {
        const address = this.server.address();
        return `127.0.0.1:${typeof address === "object" && address ? address.port : 0}`;
    }

    /** Closes all connections. */
    close(): void {
        this.server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    private handleConnection(socket: Socket): void {
        let buffered = Buffer.alloc(0);
        let lastAnswer = "";
        this.sockets.add(socket);
        // How a connection ends does not matter.
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("data", data => {
            buffered = Buffer.concat([buffered, data]);
            const id = this.readId(buffered);
            if (id === undefined) {
                return;
            }
            buffered = Buffer.alloc(0);
            if (lastAnswer !== "") {
                this.copies += 1;
                socket.write(this.answer.copy(lastAnswer));
            }
            lastAnswer = this.formatNext(id);
            socket.write(lastAnswer);
        });
    }

    private formatNext(id: string): string {
        const { format, formatRefusal } = this.answer;
        this.calls += 1;
        if (formatRefusal !== undefined && this.calls % 2 === 1) {
            return formatRefusal(id);
        }
        this.runIds.push(id);
        return format(id);
    }
}
