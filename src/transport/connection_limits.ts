/**
 * Limits on the number, time and unfinished heads of the connections of an HTTP server, judged after what has arrived before is read.
 *
 * @module
 */

import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { afterArrivedInput, type Clock } from "../state/mod.js";
import { ConnectionState } from "./_connection_state.js";
import { type ConnectionBound, MAX_HELD_HEAD_BYTES } from "./connection_bound.js";

/** Interval at which connections are checked for idleness, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/** Share of the memory of incomplete heads from which on connections are checked more often. */
const CROWDED_SHARE = 1 / 8;

/** Share of that memory that is freed at a time. */
const FREED_SHARE = 1 / 8;

/** Connections whose first head is not complete from which on a crowd is taken to come. */
const CROWD_CONNECTIONS = 32;

/** Interval at which connections are checked while they hold that much, in milliseconds. */
const CROWDED_CHECK_INTERVAL_MS = 50;

/** Error code with which the HTTP library reports a call that does not come in time. */
const TIMEOUT_ERROR_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** Settings of {@linkcode ConnectionLimits}. */
export interface ConnectionLimitsSettings {
    readonly clock: Clock;
    /** Bound on the connections. By default, only the memory of their incomplete heads is limited. */
    readonly bound?: ConnectionBound | undefined;
    /** Closes a connection that was idle for too long. */
    readonly onIdle: (socket: Socket) => void;
    /**
     * Closes a connection that has stalled, for the sake of others, and refuses a call of which only a part has come. By default, the
     * connection is closed.
     */
    readonly onGivenUp?: (socket: Socket) => void;
}

/**
 * Closes idle connections in place of the HTTP library, and lets calls be refused as too slow only after another look at what has arrived.
 *
 * It has to be made before the server gets other listeners, and before it listens.
 */
export class ConnectionLimits {
    private readonly states = new Map<Socket, ConnectionState>();
    private readonly closed = new AbortController();
    private readonly maxHeadBytes: number;
    private headBytes = 0;
    /** Connections whose first head is not complete. */
    private openingConnections = 0;

    /**
     * @param server Server whose idle limit is its `keepAliveTimeout`, which callers are told.
     * @param settings See {@linkcode ConnectionLimitsSettings}.
     */
    constructor(private readonly server: Server, private readonly settings: ConnectionLimitsSettings) {
        this.maxHeadBytes = settings.bound?.maxHeadBytes ?? MAX_HELD_HEAD_BYTES;
        server.on("connection", (socket: Socket) => this.track(socket));
        server.on("request", (request, response) => {
            const state = this.states.get(request.socket);
            this.openingConnections -= state?.readHeads === 0 ? 1 : 0;
            state?.startCall(request, response, server.keepAliveTimeout);
            response.on("close", () => state?.endCall(settings.clock.now(), request));
        });
        // With a listener, the library leaves it to the listener to close connections that are idle.
        server.on("timeout", () => undefined);
        server.on("listening", () => void this.checkConnections());
        server.on("close", () => this.closed.abort());
    }

    /** Whether so many connections are new that the memory of their heads has to be limited as they come. */
    get isCrowded(): boolean {
        return this.openingConnections > CROWD_CONNECTIONS;
    }

    /** Limits the memory of heads after the parser has taken input of a connection. */
    recordInput(socket: Socket): void {
        const state = this.states.get(socket);
        if (state !== undefined) {
            this.headBytes += state.recordHeadMemory();
            if (this.headBytes > this.maxHeadBytes) {
                this.limitHeads();
            }
        }
    }

    /**
     * Sets the time limit of a call of which the head was read.
     *
     * @param endMs Returns the end of the limit, in milliseconds since the Unix epoch. It is asked only for calls that do not come at once.
     * @param refuse Called if the call is not complete by then.
     */
    limitCall(call: IncomingMessage, endMs: () => number, refuse: () => void): void {
        const state = this.states.get(call.socket);
        if (state !== undefined) {
            state.lateCall = { call, endMs, refuse };
        }
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
                const endMs = this.settings.clock.now() + requestTimeout;
                state.lateCall = { call: state.newestCall, endMs: () => endMs, refuse: handle };
            }
        });
    }

    private track(socket: Socket): void {
        const { bound, clock, onGivenUp } = this.settings;
        const giveUp = () => onGivenUp === undefined ? socket.destroy() : onGivenUp(socket);
        const state = new ConnectionState(socket, this.server.keepAliveTimeout, clock.now(), giveUp);
        this.states.set(socket, state);
        this.openingConnections += 1;
        socket.on("close", () => {
            this.openingConnections -= state.readHeads === 0 ? 1 : 0;
            if (this.states.delete(socket)) {
                this.headBytes -= state.headMemory;
            }
            bound?.remove(state);
        });
        bound?.add(state);
    }

    private async checkConnections(): Promise<void> {
        const { clock } = this.settings;
        const intervalMs = () =>
            this.headBytes > this.maxHeadBytes * CROWDED_SHARE ? CROWDED_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS;
        while (await clock.sleep(intervalMs(), this.closed.signal)) {
            // Input that arrives after this time is too late for the limits that are over by now.
            const nowMs = clock.now();
            afterArrivedInput(() => this.judgeConnections(nowMs));
        }
    }

    private judgeConnections(nowMs: number): void {
        for (const [socket, state] of this.states) {
            state.recordProgress(nowMs);
            state.takeSlowCall(nowMs)?.refuse();
            if (state.isIdle(nowMs, this.server.headersTimeout)) {
                this.states.delete(socket);
                this.settings.onIdle(socket);
            }
        }
        this.limitHeads();
    }

    /** Closes the connections with the largest heads while these take too much memory. */
    private limitHeads(): void {
        const heads: ConnectionState[] = [];
        this.headBytes = 0;
        for (const state of this.states.values()) {
            state.recordHeadMemory();
            if (state.headMemory > 0) {
                this.headBytes += state.headMemory;
                heads.push(state);
            }
        }
        if (this.headBytes <= this.maxHeadBytes) {
            return;
        }
        for (const state of heads.sort((first, second) => second.headMemory - first.headMemory)) {
            if (this.headBytes <= this.maxHeadBytes * (1 - FREED_SHARE)) {
                return;
            }
            this.headBytes -= state.headMemory;
            this.settings.bound?.countClosedHead();
            state.closeHead();
        }
    }
}
