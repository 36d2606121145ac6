/**
 * HTTP server that sends its last answer on a connection once more before the next one.
 *
 * @module
 */

import { createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Calls that a {@linkcode RepeatingServer} refuses. */
export enum RefusedCalls {
    /** Every other call, whatever its id. */
    EveryOther = "every other call",
    /** Each call whose id has not arrived before. */
    NewIds = "new ids",
    /** The first call. */
    First = "first",
}

/** Answer of a {@linkcode RepeatingServer}. */
export interface RepeatedAnswer {
    /** Answer to a call, by its id. */
    readonly format: (id: string) => string;
    /** Bytes with which an answer is sent once more before the answer to the next call; none if it is empty. */
    readonly copy: (answer: string, nextId: string) => string;
    /** Answer to calls that do not run; all calls run without one. */
    readonly formatRefusal?: (id: string) => string;
    /** Calls that do not run; by default, every other one. */
    readonly refusedCalls?: RefusedCalls;
    /** Time between a copy and the answer behind it, in milliseconds; by default, they are sent at once. */
    readonly copyLeadMs?: number;
}

/** Serves calls on plain sockets. */
export class RepeatingServer {
    /** Ids of the calls that were run. */
    readonly runIds: string[] = [];
    /** Answers that were sent once more. */
    copies = 0;
    /** Calls with an id that was refused before. */
    resentCalls = 0;
    private readonly refusedIds = new Set<string>();
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
        let answered: Promise<void> = Promise.resolve();
        this.sockets.add(socket);
        // How a connection ends does not matter.
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        const answer = async (id: string) => {
            const copy = lastAnswer === "" ? "" : this.answer.copy(lastAnswer, id);
            if (copy !== "") {
                this.copies += 1;
                socket.write(copy);
                await this.pauseAfterCopy();
            }
            lastAnswer = this.formatNext(id);
            socket.write(lastAnswer);
        };
        socket.on("data", data => {
            buffered = Buffer.concat([buffered, data]);
            const id = this.readId(buffered);
            if (id === undefined) {
                return;
            }
            buffered = Buffer.alloc(0);
            answered = answered.then(() => answer(id));
        });
    }

    private async pauseAfterCopy(): Promise<void> {
        if (this.answer.copyLeadMs !== undefined) {
            await sleep(this.answer.copyLeadMs);
        }
    }

    private formatNext(id: string): string {
        const { format, formatRefusal } = this.answer;
        this.calls += 1;
        const isResent = this.refusedIds.has(id);
        this.resentCalls += isResent ? 1 : 0;
        if (formatRefusal !== undefined && this.isRefused(isResent)) {
            this.refusedIds.add(id);
            return formatRefusal(id);
        }
        this.runIds.push(id);
        return format(id);
    }

    private isRefused(isResent: boolean): boolean {
        switch (this.answer.refusedCalls ?? RefusedCalls.EveryOther) {
            case RefusedCalls.EveryOther:
                return this.calls % 2 === 1;
            case RefusedCalls.NewIds:
                return !isResent;
            case RefusedCalls.First:
                return this.calls === 1;
        }
    }
}
