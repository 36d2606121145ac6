/**
 * Connection to a gRPC server.
 *
 * @module
 */

import type { Socket } from "node:net";
import { BoundedConnection, ConnectionUse, STALL_MS } from "./connection_bound.js";

/** Time without progress after which the peer of an idle connection is taken to need it no more, in milliseconds; nodes probe each other. */
const KEPT_MS = 10_000;

/** Calls on a connection, and when it last made progress. */
export class GrpcConnection extends BoundedConnection {
    private servedCalls = 0;
    private hasServed = false;
    private progressBytes = 0;

    /**
     * @param socket Socket of the connection.
     * @param progressMs When the connection was opened, in milliseconds since the Unix epoch.
     */
    constructor(private readonly socket: Socket, private progressMs: number) {
        super();
    }

    override use(nowMs: number): ConnectionUse {
        if (this.servedCalls > 0) {
            return ConnectionUse.Serving;
        }
        if (!this.hasServed) {
            return this.socket.bytesRead === 0 && nowMs < this.progressMs + STALL_MS ? ConnectionUse.New : ConnectionUse.Stalled;
        }
        return nowMs < this.lastProgressMs(nowMs) + KEPT_MS ? ConnectionUse.Kept : ConnectionUse.Spare;
    }

    override lastProgressMs(nowMs: number): number {
        const { bytesRead, bytesWritten } = this.socket;
        if (bytesRead + bytesWritten !== this.progressBytes) {
            this.progressBytes = bytesRead + bytesWritten;
            this.progressMs = nowMs;
        }
        return this.progressMs;
    }

    override giveUp(): void {
        this.socket.destroy();
    }

    override refuse(): void {
        this.socket.destroy();
    }

    /** Records that the message of a call is complete. */
    startCall(): void {
        this.hasServed = true;
        this.servedCalls += 1;
    }

    /** Records the end of a call. */
    endCall(): void {
        this.servedCalls -= 1;
    }
}
