/**
 * HTTP/1.1 server for opaque calls.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import {
    AnswerPlace,
    type CallExecution,
    type LocalAnswer,
    type RelayCall,
    type RelayHeaders,
    STOPPING_RETRY_AFTER_MS,
} from "../../protocol/relay/mod.js";
import { afterArrivedInput, type CallerLimits, type Clock } from "../../state/relay/mod.js";
import { BodyCollector, discardBody, MAX_DISCARDING_HEAD_BYTES } from "../body_collector.js";
import type { ConnectionBound } from "../connection_bound.js";
import { ConnectionLimits } from "../connection_limits.js";
import { HeldHead } from "../held_head.js";
import { InputLimits } from "../input_limits.js";
import { InterimHeads } from "../interim_heads.js";
import { listen } from "../listen.js";
import { SlicedInput } from "../sliced_input.js";
import { SpreadRetryAfter } from "../spread_retry_after.js";
import { offersUpgrade } from "../upgrade_offer.js";
import { CallerConnection, type OpenCall } from "./caller_connection.js";
import { HttpRelayAnswer } from "./http_relay_answer.js";

/** Maximum size of a request head in the HTTP parser, in bytes. It is fixed before the configured limit is known. */
const MAX_HEAD_BYTES = 65_536;

/** Bytes of the smallest header field: a letter, a colon and the end of the line. */
const MIN_FIELD_BYTES = 4;

/** Interval at which connections are checked for header timeouts, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 500;

/** Maximum number of connections that the kernel queues until the process accepts them. */
const LISTEN_BACKLOG = 1_024;

/** Multiple of the maximum body size up to which a body that is too large is read, so that the calls behind it are read as well. */
const MAX_DISCARDED_BODY_FACTOR = 2;

/** Status of calls that cannot be read. */
const INVALID_STATUS = 400;

/** Error code of a connection that its caller closes within a call. */
const EOF_ERROR_CODE = "HPE_INVALID_EOF_STATE";

/** Statuses of the errors of the HTTP parser other than invalid calls. */
const STATUS_BY_ERROR_CODE: ReadonlyMap<string, number> = new Map([
    ["HPE_HEADER_OVERFLOW", 431],
    ["ERR_HTTP_REQUEST_TIMEOUT", 408],
]);

/** Limits that apply until the first configuration is read. */
const INITIAL_LIMITS: CallerLimits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};

/** Why this node closed the connection of a call before its answer was complete. */
export enum CutCause {
    /** The receiver of the call failed. */
    InternalError = "internalError",
    /** The answer to an earlier call on the connection said that it closes, or was broken off; the call was not passed on. */
    EarlierAnswer = "earlierAnswer",
    /** The node stopped. */
    Stop = "stop",
}

/** Call whose connection this node closed before its answer was complete. */
export interface CutCall {
    /** Id of the call. */
    readonly id: string;
    readonly cause: CutCause;
    /** Whether a part of the answer had been written. */
    readonly isAnswerStarted: boolean;
    /** Time since the call was read, in milliseconds. */
    readonly ageMs: number;
}

/** Answer of the node itself to a call of a caller or of another node. */
export interface WrittenLocalAnswer {
    /** Id of the call; `undefined` if it states none, or states it wrongly. */
    readonly id: string | undefined;
    readonly localAnswer: LocalAnswer;
    /** What is known of whether the call has run. */
    readonly execution: CallExecution;
}

/** Handles a call that was read completely. */
export type CallReceiver = (call: RelayCall, answer: HttpRelayAnswer) => Promise<void>;

/** Settings of a {@linkcode CallerServer}. */
export interface CallerServerSettings {
    readonly clock: Clock;
    readonly headers: RelayHeaders;
    readonly receive: CallReceiver;
    /** Limits that all bodies and answers of the node share. By default, the bodies have their own. */
    readonly inputLimits?: InputLimits;
    /** Bound on the number of connections. By default, there is none. */
    readonly connectionBound?: ConnectionBound;
    /** Called with errors thrown by the receiver. */
    readonly onError: (error: unknown) => void;
    /** Called with errors of the listening server, such as a connection that cannot be accepted; it goes on. */
    readonly onListenerError: (error: unknown) => void;
    /** Called when this node closes the connection of a call before its answer is complete. */
    readonly onCut: (call: CutCall) => void;
    /** Called with each answer of the node itself. */
    readonly onLocalAnswer?: (answer: WrittenLocalAnswer) => void;
    /** Called with the status of an answer to bytes on a connection that have not become a call. */
    readonly onUnreadable?: (status: number) => void;
    /** Called when this node closes a connection because it was idle for too long. */
    readonly onIdleClose: () => void;
}

/** Reads calls within the limits and passes each one to the receiver once it is complete. */
export class CallerServer {
    private readonly server: Server;
    private readonly connectionLimits: ConnectionLimits;
    private readonly inputLimits: InputLimits;
    private readonly interimHeads: InterimHeads;
    private readonly connections = new Map<Socket, CallerConnection>();
    private readonly retryAfter = new SpreadRetryAfter();
    private limits = INITIAL_LIMITS;
    private isDraining = false;

    /** @param settings See {@linkcode CallerServerSettings}. */
    constructor(private readonly settings: CallerServerSettings) {
        this.inputLimits = settings.inputLimits ?? new InputLimits(settings.clock);
        this.server = createServer({
            maxHeaderSize: MAX_HEAD_BYTES,
            requestTimeout: 0,
            connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
            // The library would refuse such a call by itself and close the connection, also before the answers to calls behind it.
            requireHostHeader: false,
            noDelay: true,
        });
        this.connectionLimits = new ConnectionLimits(this.server, {
            clock: settings.clock,
            onIdle: socket => {
                settings.onIdleClose();
                this.connections.get(socket)?.closeIfIdle();
            },
            bound: settings.connectionBound,
            onGivenUp: socket => this.giveUp(socket),
        });
        this.interimHeads = new InterimHeads(this.server);
        new SlicedInput(this.server, this.inputLimits, this.connectionLimits);
        this.server.on("connection", socket => this.handleConnection(socket));
        this.server.on("request", (request, response) => this.handleRequest(request, response));
        this.server.on("clientError", (error, socket) => {
            this.connectionLimits.judgeError(error, socket as Socket, () => this.handleUnreadable(error, socket as Socket));
        });
        this.server.on("connect", (request, socket) => this.handleTunnel(socket as Socket));
        this.setLimits(INITIAL_LIMITS);
    }

    /** Applies the limits of a configuration. */
    setLimits(limits: CallerLimits): void {
        this.limits = limits;
        this.connectionLimits.setIdleTimeout(limits.idleTimeoutMs);
        this.server.headersTimeout = limits.headerTimeoutMs;
        // The library drops further fields without a word.
        this.server.maxHeadersCount = Math.ceil(limits.maxHeaderBytes / MIN_FIELD_BYTES);
    }

    /** Starts listening. */
    async listen(host: string, port: number): Promise<void> {
        await listen(this.server, { host, port, backlog: LISTEN_BACKLOG }, this.settings.onListenerError);
    }

    /** Port that the server listens on; 0 if it does not listen on a port. */
    get port(): number {
        const address = this.server.address();
        return typeof address === "object" && address ? address.port : 0;
    }

    /** Number of calls whose answers are not complete. */
    get openCalls(): number {
        let count = 0;
        for (const { calls } of this.connections.values()) {
            count += calls.size;
        }
        return count;
    }

    /** Starts draining connections: each one closes after the answers to the calls that were read from it. */
    startDraining(): void {
        this.isDraining = true;
    }

    /** Stops listening and closes idle connections, after the calls that have arrived are read. */
    async stopListening(): Promise<void> {
        const readArrivedCalls = () => new Promise<void>(resolve => afterArrivedInput(resolve));
        // Connections that wait to be accepted are reset as the listener closes.
        await readArrivedCalls();
        // The method of the HTTP server also closes connections whose last answer is not completely sent.
        NetServer.prototype.close.call(this.server);
        // The last of them were accepted right before, and are not read yet.
        await readArrivedCalls();
        for (const connection of this.connections.values()) {
            connection.closeIfIdle();
        }
    }

    /** Refuses the calls of which only a part has been read. */
    refuseUnread(): void {
        for (const connection of this.connections.values()) {
            for (const { request, answer } of connection.calls) {
                if (!request.complete && !answer.isStarted) {
                    const text = "The node is stopping; the call has not run.";
                    answer.sendLocal({
                        place: AnswerPlace.UnreadAtStop,
                        status: 503,
                        text,
                        retryAfterMs: STOPPING_RETRY_AFTER_MS,
                    });
                }
            }
        }
    }

    /** Closes a connection that has stalled, and refuses a call of which only a part has come. */
    private giveUp(socket: Socket): void {
        const connection = this.connections.get(socket);
        const unread = [...connection?.calls ?? []].find(({ request, answer }) => !request.complete && !answer.isStarted);
        if (connection === undefined || unread === undefined || socket.writableLength > 0) {
            // A refusal would wait behind an answer that is not read.
            socket.destroy();
            return;
        }
        connection.mustClose = true;
        const text = "The node has too many connections, and no more of this call has come for longest; the call has not run.";
        unread.answer.sendLocal({ place: AnswerPlace.Connections, status: 503, text, retryAfterMs: this.retryAfter.next() });
    }

    /** Stops listening and closes all connections immediately. */
    closeAll(): void {
        for (const connection of this.connections.values()) {
            this.reportCuts(connection, CutCause.Stop);
        }
        this.server.close();
        this.server.closeAllConnections();
    }

    private reportCuts(connection: CallerConnection, cause: CutCause): void {
        for (const call of connection.calls) {
            this.reportCut(call, cause);
        }
    }

    private reportCut(call: OpenCall, cause: CutCause): void {
        if (call.read !== undefined) {
            const { id, arrivedAtMs } = call.read;
            call.read = undefined;
            const ageMs = this.settings.clock.now() - arrivedAtMs;
            this.settings.onCut({ id, cause, isAnswerStarted: call.answer.isStarted, ageMs });
        }
    }

    private handleConnection(socket: Socket): void {
        const connection = new CallerConnection(socket, status => this.settings.onUnreadable?.(status));
        this.connections.set(socket, connection);
        socket.on("close", () => {
            this.connections.delete(socket);
            this.reportHeld(connection);
            for (const { callerAbort } of connection.calls) {
                callerAbort.abort();
            }
        });
    }

    /** Reports the calls behind an answer that was broken off, which closed their connection. */
    private reportHeld({ calls }: CallerConnection): void {
        const [first, ...others] = calls;
        if (first?.answer.isAborted !== true) {
            return;
        }
        for (const call of others) {
            this.reportCut(call, CutCause.EarlierAnswer);
        }
    }

    private handleUnreadable(error: NodeJS.ErrnoException, socket: Socket): void {
        const connection = this.connections.get(socket);
        if (connection === undefined || !socket.writable || error.code === EOF_ERROR_CODE) {
            socket.destroy(error);
            return;
        }
        connection.refuseUnreadable(STATUS_BY_ERROR_CODE.get(error.code ?? "") ?? INVALID_STATUS, this.isDraining);
    }

    /** Refuses a tunnel (RFC 9110, section 9.3.6), for which the HTTP library hands over the socket. */
    private handleTunnel(socket: Socket): void {
        socket.resume();
        socket.on("end", () => socket.destroy());
        // The library removes its listeners from a socket that it hands over.
        socket.on("error", () => socket.destroy());
        this.connections.get(socket)?.refuseUnreadable(INVALID_STATUS, this.isDraining);
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse): void {
        const connection = this.connections.get(request.socket);
        const isLast = offersUpgrade(request);
        const heldHead = new HeldHead(request);
        if (connection === undefined || connection.isClosing) {
            // The answer to an earlier call closes the connection.
            discardBody(request, this.inputLimits, () => undefined);
            request.on("end", () => this.reportUnanswered(heldHead));
            return;
        }
        const answer: HttpRelayAnswer = new HttpRelayAnswer(response, {
            closesConnection: () => {
                const mayLackBody = this.interimHeads.giveUp(request, response);
                connection.mustClose ||= mayLackBody;
                return connection.writeClosingHead(openCall, this.isDraining);
            },
            turn: connection.nextTurn(),
            memory: this.inputLimits.memory,
            onLocal: localAnswer => {
                const id = openCall.read?.id ?? this.readId(heldHead);
                this.settings.onLocalAnswer?.({ id, localAnswer, execution: answer.execution });
            },
        });
        const openCall: OpenCall = { request, response, answer, callerAbort: new AbortController(), read: undefined };
        connection.mustClose ||= isLast;
        connection.add(openCall, response.shouldKeepAlive && !isLast);
        this.interimHeads.prepare(request, response);
        response.on("finish", () => {
            openCall.read = undefined;
            connection.finish(openCall, this.isDraining);
        });
        request.on("error", () => openCall.callerAbort.abort());
        this.readBody(connection, openCall, heldHead);
    }

    /**
     * Reads the body of a call. A refusal is written at the end of the body, so that the calls that follow are read and answered; only
     * a body that is far too large is not read to its end.
     */
    private readBody(connection: CallerConnection, openCall: OpenCall, heldHead: HeldHead): void {
        const { request, response, answer, callerAbort } = openCall;
        const { maxBodyBytes } = this.limits;
        const refuse = (localAnswer: LocalAnswer) => {
            connection.mustClose = true;
            answer.sendLocal(localAnswer);
        };
        const tooLarge = { place: AnswerPlace.Reading, status: 413, text: `The body is larger than ${maxBodyBytes} bytes.` };
        const refuseForMemory = (write: (localAnswer: LocalAnswer) => void) => {
            const text = "The node holds too many bytes of calls; the call has not run.";
            write({ place: AnswerPlace.Memory, status: 503, text, retryAfterMs: this.retryAfter.next() });
        };
        const body = new BodyCollector(request, {
            inputLimits: this.inputLimits,
            maxBytes: maxBodyBytes,
            headBytes: heldHead.bytes,
            onEvicted: () => {
                if (heldHead.bytes > MAX_DISCARDING_HEAD_BYTES && !answer.isStarted) {
                    refuseForMemory(refuse);
                }
            },
            onProgress: size => {
                if (size > maxBodyBytes * MAX_DISCARDED_BODY_FACTOR && !answer.isStarted) {
                    refuse(tooLarge);
                }
            },
        });
        const startedAtMs = this.settings.clock.now();
        let endMs: number | undefined;
        this.connectionLimits.limitCall(
            request,
            () => endMs ??= startedAtMs + (this.settings.headers.readDeadline(heldHead.list()) ?? Infinity),
            () => {
                if (!answer.isStarted) {
                    const text = "The call has not come within the time for which its caller waits; it has not run.";
                    refuse({ place: AnswerPlace.Reading, status: 408, text });
                }
            },
        );
        response.on("close", () => body.release());
        request.on("end", () => {
            if (answer.isStarted || callerAbort.signal.aborted) {
                return;
            }
            if (body.isTooLarge) {
                refuse(tooLarge);
                return;
            }
            if (body.isEvicted) {
                refuseForMemory(localAnswer => answer.sendLocal(localAnswer));
                return;
            }
            const refusal = this.receive(openCall, heldHead, body.take());
            if (refusal !== undefined) {
                refuse(refusal);
            }
        });
    }

    /** Passes a complete call on, or returns the answer with which it is refused. */
    private receive(openCall: OpenCall, heldHead: HeldHead, body: Buffer): LocalAnswer | undefined {
        const { request, answer, callerAbort } = openCall;
        const { maxHeaderBytes } = this.limits;
        if (heldHead.headerBytes > maxHeaderBytes) {
            return { place: AnswerPlace.Reading, status: 431, text: `The headers are larger than ${maxHeaderBytes} bytes.` };
        }
        const head = this.settings.headers.readCall(heldHead.list());
        if (typeof head === "string") {
            return { place: AnswerPlace.Reading, status: INVALID_STATUS, text: head };
        }
        const arrivedAtMs = this.settings.clock.now();
        openCall.read = { id: head.id, arrivedAtMs };
        const call = {
            head,
            method: request.method ?? "GET",
            target: request.url ?? "/",
            body,
            arrivedAtMs,
            callerGone: callerAbort.signal,
        };
        this.settings.receive(call, answer).catch((error: unknown) => {
            this.settings.onError(error);
            if (answer.isStarted && !answer.isEnded) {
                this.reportCut(openCall, CutCause.InternalError);
            }
            answer.failInside();
        });
        return undefined;
    }

    /** Reports a call that is not received, since an earlier answer closes its connection. */
    private reportUnanswered(heldHead: HeldHead): void {
        const id = this.readId(heldHead);
        if (id !== undefined) {
            this.settings.onCut({ id, cause: CutCause.EarlierAnswer, isAnswerStarted: false, ageMs: 0 });
        }
    }

    /** Returns the id of a call; `undefined` if it states none, or states it wrongly. */
    private readId(heldHead: HeldHead): string | undefined {
        const head = this.settings.headers.readCall(heldHead.list());
        return typeof head === "string" ? undefined : head.id;
    }
}
