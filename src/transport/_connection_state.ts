/**
 * State of one connection of an HTTP server.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { BoundedConnection, ConnectionUse, STALL_MS } from "./connection_bound.js";

/**
 * Time beyond the idle limit for which a connection stays open, in milliseconds. Callers count from when they read an answer, and a call
 * that they send within the limit takes time to arrive.
 */
const IDLE_MARGIN_MS = 1_000;

/** Share of the idle limit within which callers may use a connection again. */
const REUSE_SHARE = 0.8;

/** Memory that the parser takes for a name or a value of a head that is not complete, beside its bytes. */
const HEADER_TEXT_BYTES = 36;

/** Call of which the library does not report that it does not come in time. */
export interface LateCall {
    readonly call: IncomingMessage;
    /** Returns the end of its time limit, in milliseconds since the Unix epoch. */
    readonly endMs: () => number;
    readonly refuse: () => void;
}

/** Calls on a connection, and since when it is idle. */
export class ConnectionState extends BoundedConnection {
    /** Number of heads that were read. */
    readHeads = 0;
    /** Call whose head was read last, while calls are open. */
    newestCall: IncomingMessage | undefined;
    lateCall: LateCall | undefined;
    /** Memory of a head that is not complete when it was last recorded, in bytes. */
    headMemory = 0;
    private readonly openCalls = new Map<IncomingMessage, ServerResponse>();
    private bytesRead = 0;
    /** Bytes that were read and written when the connection was last seen to make progress. */
    private progressBytes = 0;
    private progressMs: number;
    private hasUnfinishedInput = false;
    /** Number of bytes at the end of the last call. */
    private callEndBytes = 0;
    /** Call that was answered before it was read to its end. */
    private unreadCall: IncomingMessage | undefined;

    /**
     * @param idleTimeoutMs Longest idle limit in force since callers were told one on this connection, in milliseconds.
     * @param idleSinceMs Since when no call is open and nothing was read, in milliseconds since the Unix epoch.
     * @param onGivenUp Called when the connection is closed for the sake of others: refuses a call of which only a part has come.
     */
    constructor(
        private readonly socket: Socket,
        public idleTimeoutMs: number,
        private idleSinceMs: number,
        private readonly onGivenUp: () => void,
    ) {
        super();
        this.progressMs = idleSinceMs;
    }

    override use(nowMs: number): ConnectionUse {
        for (const [call, response] of this.openCalls) {
            if (call.complete && !response.writableEnded) {
                return ConnectionUse.Serving;
            }
        }
        if (this.socket.bytesRead === 0 && nowMs < this.idleSinceMs + STALL_MS) {
            return ConnectionUse.New;
        }
        const hasUnreadCall = this.openCalls.size > 0 || this.unreadCall?.complete === false;
        if (hasUnreadCall || this.readHeads === 0 || this.unfinishedHeadBytes > 0) {
            return ConnectionUse.Stalled;
        }
        return nowMs < this.idleSinceMs + this.idleTimeoutMs * REUSE_SHARE ? ConnectionUse.Kept : ConnectionUse.Spare;
    }

    override lastProgressMs(nowMs: number): number {
        this.recordProgress(nowMs);
        return this.progressMs;
    }

    /** Records whether bytes have arrived or left since it was last called. */
    recordProgress(nowMs: number): void {
        const { bytesRead, bytesWritten, writableLength } = this.socket;
        const bytes = bytesRead + bytesWritten - writableLength;
        if (bytes !== this.progressBytes) {
            this.progressBytes = bytes;
            this.progressMs = nowMs;
        }
    }

    override giveUp(): void {
        this.onGivenUp();
    }

    override refuse(): void {
        this.socket.destroy();
    }

    /** Records the memory that a head takes which is not complete, and returns by how many bytes it has grown. */
    recordHeadMemory(): number {
        const { headMemory } = this;
        const unfinishedHeadBytes = this.socket.destroyed ? 0 : this.unfinishedHeadBytes;
        const texts = unfinishedHeadBytes === 0 ? 0 : this.headTexts?.length ?? 0;
        this.headMemory = unfinishedHeadBytes + texts * HEADER_TEXT_BYTES;
        return this.headMemory - headMemory;
    }

    /** Closes the connection and frees its head, which the library would keep until the event loop has read all other sockets. */
    closeHead(): void {
        this.headMemory = 0;
        this.headTexts?.splice(0);
        this.socket.destroy();
    }

    /** Names and values of a head that is not complete, as the parser has them. */
    private get headTexts(): string[] | undefined {
        return (Reflect.get(this.socket, "parser") as { readonly _headers?: string[] } | undefined)?._headers;
    }

    /** Number of bytes that were read of a head that is not complete. */
    private get unfinishedHeadBytes(): number {
        if (this.openCalls.size > 0 || this.unreadCall?.complete === false) {
            return 0;
        }
        if (this.unreadCall !== undefined) {
            this.unreadCall = undefined;
            this.callEndBytes = this.socket.bytesRead;
        }
        return this.socket.bytesRead - this.callEndBytes;
    }

    startCall(call: IncomingMessage, response: ServerResponse, idleTimeoutMs: number): void {
        this.newestCall = call;
        this.openCalls.set(call, response);
        this.readHeads += 1;
        this.idleTimeoutMs = idleTimeoutMs;
    }

    endCall(nowMs: number, call: IncomingMessage): void {
        this.unreadCall = call.complete ? undefined : call;
        this.callEndBytes = this.socket.bytesRead;
        this.openCalls.delete(call);
        this.lateCall = this.lateCall?.call === call ? undefined : this.lateCall;
        this.newestCall = this.openCalls.size > 0 ? this.newestCall : undefined;
        this.bytesRead = this.socket.bytesRead;
        this.hasUnfinishedInput = false;
        this.idleSinceMs = nowMs;
    }

    /** Takes the late call, if there is one whose time limit is over. */
    takeSlowCall(nowMs: number): LateCall | undefined {
        const { lateCall } = this;
        if (lateCall === undefined || !lateCall.call.complete && nowMs < lateCall.endMs()) {
            return undefined;
        }
        this.lateCall = undefined;
        return lateCall.call.complete ? undefined : lateCall;
    }

    /**
     * Returns whether the connection is idle for too long.
     *
     * @param headersTimeoutMs Time within which the rest of a head has to follow, in milliseconds.
     */
    isIdle(nowMs: number, headersTimeoutMs: number): boolean {
        if (this.openCalls.size > 0) {
            return false;
        }
        if (this.socket.bytesRead !== this.bytesRead) {
            this.bytesRead = this.socket.bytesRead;
            this.hasUnfinishedInput = true;
            this.idleSinceMs = nowMs;
            return false;
        }
        const limitMs = this.hasUnfinishedInput ? Math.max(this.idleTimeoutMs, headersTimeoutMs) : this.idleTimeoutMs;
        return nowMs >= this.idleSinceMs + limitMs + IDLE_MARGIN_MS;
    }
}
