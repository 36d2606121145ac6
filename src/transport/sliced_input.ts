/**
 * Reading of connections in slices while input in small pieces takes much of the event loop.
 *
 * The HTTP parser takes whatever one read of a socket gives, 64 KiB, in one go: eleven thousand chunks of a byte hold up the event loop for
 * 20 ms, and a crowd of connections for seconds before the first of them can be paused.
 *
 * @module
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { ConnectionLimits } from "./connection_limits.js";
import type { InputLimits } from "./input_limits.js";

/** Bytes that the parser takes from a connection in one go; about 700 chunks of a byte, which take one or two milliseconds. */
const SLICE_BYTES = 4_096;

/**
 * Gives the parser of a server slices of what its connections bring, from the time on that the pacer is busy, and if they come in a crowd.
 * Otherwise the library reads the sockets directly, which takes ordinary calls less time.
 */
export class SlicedInput {
    private readonly wholeSockets = new Set<Socket>();

    /**
     * It has to be made before the server listens.
     *
     * @param server Server whose connections are read.
     * @param inputLimits Limits of the node. Bytes that wait for the parser count in its memory.
     * @param connectionLimits Limits of the server, which are told of what the parser takes while many connections are new.
     */
    constructor(
        server: Server,
        private readonly inputLimits: InputLimits,
        private readonly connectionLimits: ConnectionLimits,
    ) {
        const { pacer } = inputLimits;
        server.on("connection", (socket: Socket) => {
            if (pacer.isBusy || connectionLimits.isCrowded) {
                this.slice(socket);
                return;
            }
            this.wholeSockets.add(socket);
            socket.on("close", () => this.wholeSockets.delete(socket));
        });
        pacer.onBusy(() => {
            for (const socket of this.wholeSockets) {
                this.slice(socket);
            }
            this.wholeSockets.clear();
        });
    }

    private slice(socket: Socket): void {
        if (socket.isPaused()) {
            // The library reads the socket on only if it paused and resumes it in the same way.
            socket.once("resume", () => this.slice(socket));
            return;
        }
        const [parse, ...others] = socket.listeners("data") as ((bytes: Buffer) => void)[];
        if (parse === undefined || others.length > 0) {
            // A tunnel, which the parser does not read.
            return;
        }
        const share = this.inputLimits.memory.open(() => socket.destroy());
        const onData = (bytes: Buffer) => {
            const rest = parseSlices(socket, bytes, parse);
            if (hasNoParser(socket)) {
                socket.off("data", onData);
            }
            else if (rest.length > 0) {
                // It is read again once the pause ends.
                socket.unshift(rest);
            }
            share.resize(rest.length);
            this.connectionLimits.recordInput(socket);
        };
        socket.on("close", () => share.close());
        // With a listener of others, the library gives up reading the socket directly.
        socket.on("data", onData);
        socket.off("data", parse);
    }
}

/** Parses bytes until the connection is paused or ends, and returns those that are left. */
function parseSlices(socket: Socket, bytes: Buffer, parse: (bytes: Buffer) => void): Buffer {
    let rest = bytes;
    while (rest.length > 0 && !socket.isPaused()) {
        parse.call(socket, rest.subarray(0, SLICE_BYTES));
        rest = rest.subarray(SLICE_BYTES);
        if (socket.destroyed || socket.writableEnded || hasNoParser(socket)) {
            // Nothing after it is answered.
            return rest.subarray(rest.length);
        }
    }
    return rest;
}

/** Returns whether the library has taken the parser from a connection, which has become a tunnel or is closed. */
function hasNoParser(socket: Socket): boolean {
    return !Reflect.get(socket, "parser");
}
