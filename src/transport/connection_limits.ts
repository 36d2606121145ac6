/**
 * Time limits of the connections of an HTTP server, judged after what has arrived before is read.
 *
 * @module
 */

import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { afterArrivedInput, type Clock } from "../state/mod.js";

/** Interval at which connections are checked for idleness, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/**
 * Time beyond the idle limit for which a connection stays open, in milliseconds. Callers count from when they read an answer, and a call
 * that they send within the limit takes time to arrive.
 */
const IDLE_MARGIN_MS = 1_000;

/** Bytes of heads that are not complete, on all connections of a server; beyond, the connections with the largest ones are closed. */
export const MAX_HELD_HEAD_BYTES = 16_777_216;

/** Bytes of incomplete heads from which on connections are checked more often. */
const CROWDED_HEAD_BYTES = MAX_HELD_HEAD_BYTES / 8;

/** Interval at which connections are checked while they hold that much, in milliseconds. */
const CROWDED_CHECK_INTERVAL_MS = 50;

/** Error code with which the HTTP library reports a call that does not come in time. */
const TIMEOUT_ERROR_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** Settings of {@linkcode ConnectionLimits}. */
export interface ConnectionLimitsSettings {
    readonly clock: Clock;
    /** Closes a connection that was idle for too long. */
    readonly onIdle: (socket: Socket) => void;
}

/**
 * Closes idle connections in place of the HTTP library, and lets calls be refused as too slow only after another look at what has arrived.
 *
 * It has to be made before the server gets other listeners, and before it listens.
 */
export class ConnectionLimits {
    private readonly states = new Map<Socket, ConnectionState>();
    private readonly closed = new AbortController();
    private headBytes = 0;

    /**
     * @param server Server whose idle limit is its `keepAliveTimeout`, which callers are told.
     * @param settings See {@linkcode ConnectionLimitsSettings}.
     */
    constructor(private readonly server: Server, private readonly settings: ConnectionLimitsSettings) {
        server.on("connection", (socket: Socket) => this.track(socket));
        server.on("request", (request, response) => {
            const state = this.states.get(request.socket);
            state?.startCall(request, server.keepAliveTimeout);
            response.on("close", () => state?.endCall(settings.clock.now(), request));
        });
        // With a listener, the library leaves it to the listener to close connections that are idle.
        server.on("timeout", () => undefined);
        server.on("listening", () => void this.checkConnections());
        server.on("close", () => this.closed.abort());
    }

    /** Sets the idle limit. Connections that are idle already, of which callers know the former limit, keep the longer one. */
    setIdleTimeout(idleTimeoutMs: number): void {
        this.server.keepAliveTimeout = idleTimeoutMs;
        for (const state of this.states.values()) {
            state.idleTimeoutMs = Math.max(state.idleTimeoutMs, idleTimeoutMs);
        }
    }

    /**
     * Handles an error that the server reports for a connection. A head or body counts as too slow only if its end has not arrived.
     *
     * @param handle Called at once for other errors, and for calls that are too slow.
     */
    judgeError(error: NodeJS.ErrnoException, socket: Socket, handle: () => void): void {
        const state = this.states.get(socket);
        if (error.code !== TIMEOUT_ERROR_CODE || state === undefined) {
            handle();
            return;
        }
        if (socket.bytesRead === 0) {
            // The library takes a new connection for a call that has begun.
            return;
        }
        const { readHeads, newestCall } = state;
        const isBodyMissing = newestCall?.complete === false;
        afterArrivedInput(() => {
            if (isBodyMissing ? !newestCall.complete : state.readHeads === readHeads) {
                handle();
                return;
            }
            const { requestTimeout } = this.server;
            if (requestTimeout > 0 && state.newestCall?.complete === false) {
                // The library does not report the rest of a call of which it has reported the head.
                state.lateCall = { call: state.newestCall, endMs: this.settings.clock.now() + requestTimeout, refuse: handle };
            }
        });
    }

    private track(socket: Socket): void {
        const state = new ConnectionState(socket, this.server.keepAliveTimeout, this.settings.clock.now());
        this.states.set(socket, state);
        socket.on("close", () => this.states.delete(socket));
    }

    private async checkConnections(): Promise<void> {
        const { clock } = this.settings;
        const intervalMs = () => this.headBytes > CROWDED_HEAD_BYTES ? CROWDED_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS;
        while (await clock.sleep(intervalMs(), this.closed.signal)) {
            // Input that arrives after this time is too late for the limits that are over by now.
            const nowMs = clock.now();
            afterArrivedInput(() => this.judgeConnections(nowMs));
        }
    }

    private judgeConnections(nowMs: number): void {
        this.headBytes = 0;
        for (const [socket, state] of this.states) {
            this.headBytes += state.unfinishedHeadBytes;
            state.takeSlowCall(nowMs)?.refuse();
            if (state.isIdle(nowMs, this.server.headersTimeout)) {
                this.states.delete(socket);
                this.settings.onIdle(socket);
            }
        }
        if (this.headBytes > MAX_HELD_HEAD_BYTES) {
            this.closeLargestHeads();
        }
    }

    private closeLargestHeads(): void {
        const sizes = [...this.states].map(([socket, state]) => ({ socket, bytes: state.unfinishedHeadBytes }));
        for (const { socket, bytes } of sizes.sort((first, second) => second.bytes - first.bytes)) {
            if (this.headBytes <= MAX_HELD_HEAD_BYTES) {
                return;
            }
            this.headBytes -= bytes;
            socket.destroy();
        }
    }
}

/** Call of which the library does not report that it does not come in time. */
interface LateCall {
    readonly call: IncomingMessage;
    /** End of its time limit, in milliseconds since the Unix epoch. */
    readonly endMs: number;
    readonly refuse: () => void;
}

/** Calls on a connection, and since when it is idle. */
class ConnectionState {
    /** Number of heads that were read. */
    readHeads = 0;
    /** Call whose head was read last, while calls are open. */
    newestCall: IncomingMessage | undefined;
    lateCall: LateCall | undefined;
    private openCalls = 0;
    private bytesRead = 0;
    private hasUnfinishedInput = false;
    /** Number of bytes at the end of the last call. */
    private callEndBytes = 0;
    /** Call that was answered before it was read to its end. */
    private unreadCall: IncomingMessage | undefined;

    /**
     * @param idleTimeoutMs Longest idle limit in force since callers were told one on this connection, in milliseconds.
     * @param idleSinceMs Since when no call is open and nothing was read, in milliseconds since the Unix epoch.
     */
    constructor(private readonly socket: Socket, public idleTimeoutMs: number, private idleSinceMs: number) {}

    /** Number of bytes that were read of a head that is not complete. */
    get unfinishedHeadBytes(): number {
        if (this.openCalls > 0 || this.unreadCall?.complete === false) {
            return 0;
        }
        if (this.unreadCall !== undefined) {
            this.unreadCall = undefined;
            this.callEndBytes = this.socket.bytesRead;
        }
        return this.socket.bytesRead - this.callEndBytes;
    }

    startCall(call: IncomingMessage, idleTimeoutMs: number): void {
        this.newestCall = call;
        this.openCalls += 1;
        this.readHeads += 1;
        this.idleTimeoutMs = idleTimeoutMs;
    }

    endCall(nowMs: number, call: IncomingMessage): void {
        this.unreadCall = call.complete ? undefined : call;
        this.callEndBytes = this.socket.bytesRead;
        this.openCalls -= 1;
        this.newestCall = this.openCalls > 0 ? this.newestCall : undefined;
        this.bytesRead = this.socket.bytesRead;
        this.hasUnfinishedInput = false;
        this.idleSinceMs = nowMs;
    }

    /** Takes the late call, if there is one whose time limit is over. */
    takeSlowCall(nowMs: number): LateCall | undefined {
        const { lateCall } = this;
        if (lateCall === undefined || !lateCall.call.complete && nowMs < lateCall.endMs) {
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
        if (this.openCalls > 0) {
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
