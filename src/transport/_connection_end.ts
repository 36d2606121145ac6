/**
 * Ends of connections that delimit an answer.
 *
 * An answer without a length and without chunks ends with its connection. A server that fails within such an answer ends the connection,
 * too. It may do so although it has not read the request, which the network or the operating system then still holds.
 *
 * @module
 */

import type { Socket } from "node:net";
import type { SocketHold } from "./_socket_hold.js";

/** Empty line written to detect a reset connection; RFC 9112, section 2.2, asks servers to ignore it before a request line. */
const RESET_PROBE = "\r\n";

/**
 * Largest body that is sent without waiting for the server, in bytes: ten segments of 1,460 bytes (RFC 6928). The operating system may
 * hold the rest of a larger one for as long as the server does not read, 4 MB on Linux, while Node.js counts it as written.
 */
const MAX_UNWATCHED_BYTES = 14_600;

/** Interval between two checks for a reset after the end of a connection, in milliseconds. */
const RESET_CHECK_MS = 5;

/**
 * Checks for a reset after the end of a connection: over 100 ms. A reset follows within a round trip if the server has closed the
 * connection before it had read the request. Servers that end it in one direction first reset it later; 20 ms were seen.
 */
const RESET_CHECKS = 20;

/** Connection whose end delimits an answer. */
export interface DelimitingConnection {
    readonly socket: Socket;
    readonly hold: SocketHold;
    /** Size of the body of the request, in bytes. */
    readonly bodyBytes: number;
    /** Called with the reason if the answer is not whole. */
    readonly onIncomplete: (reason: Error) => void;
}

/** Tells the end of an answer from the end of a connection within it. */
export class ConnectionEnd {
    private timer: NodeJS.Timeout | undefined;
    private checks = 0;
    private readonly onSocketEnd = () => this.probeForReset();

    /** @param connection See {@linkcode DelimitingConnection}. */
    constructor(private readonly connection: DelimitingConnection) {
        const { socket, hold, bodyBytes } = connection;
        socket.prependOnceListener("end", this.onSocketEnd);
        if (bodyBytes > MAX_UNWATCHED_BYTES) {
            hold.holdEnd(() => this.watch());
        }
    }

    /** Ends the checks, as the answer is over. An answer without a body leaves the connection open for other ones. */
    stop(): void {
        const { socket, hold } = this.connection;
        clearInterval(this.timer);
        socket.off("end", this.onSocketEnd);
        hold.releaseEnd();
    }

    /** Checks for a reset, and lets the connection end if none has come. */
    private watch(): void {
        if (this.timer !== undefined || !this.isRequestWritten()) {
            return;
        }
        this.timer = setInterval(() => this.checkForReset(), RESET_CHECK_MS);
    }

    private checkForReset(): void {
        const { socket, hold, onIncomplete } = this.connection;
        if (this.checks === RESET_CHECKS) {
            clearInterval(this.timer);
            hold.releaseEnd();
            return;
        }
        this.checks += 1;
        // Nothing is sent, but the write fails after a reset.
        socket.write("", error => {
            if (error) {
                onIncomplete(
                    new Error("the server reset the connection after an answer without a length to a request that was not read"),
                );
            }
        });
    }

    /** Fails the answer if a part of the request is not even with the operating system. */
    private isRequestWritten(): boolean {
        const { socket, onIncomplete } = this.connection;
        if (socket.writableLength > 0) {
            onIncomplete(new Error("the server ended an answer without a length before the request was written"));
            return false;
        }
        return true;
    }

    /** A reset that arrives right after the last bytes is reported as a regular end. Only a write to the socket fails then. */
    private probeForReset(): void {
        if (this.isRequestWritten()) {
            this.connection.socket.write(RESET_PROBE);
        }
    }
}
