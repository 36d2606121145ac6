/**
 * HTTP/1.1 server for opaque calls.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type LocalAnswer, type RelayCall, type RelayHeaders, STOPPING_RETRY_AFTER_MS } from "../../protocol/relay/mod.js";
import type { CallerLimits, Clock } from "../../state/relay/mod.js";
import { HttpRelayAnswer } from "./http_relay_answer.js";

/** Maximum size of a request head in the HTTP parser, in bytes. It is fixed before the configured limit is known. */
const MAX_HEAD_BYTES = 65_536;

/** Interval at which connections are checked for header timeouts, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 500;

/** Maximum number of connections that the kernel queues until the process accepts them. */
const LISTEN_BACKLOG = 1_024;

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
    /** The connection was closed after the answer to an earlier call on it. */
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

/** Call that was read, and whose answer is not complete. */
interface OpenCall {
    readonly id: string;
    readonly socket: Socket;
    readonly answer: HttpRelayAnswer;
    readonly arrivedAtMs: number;
}

/** Handles a call that was read completely. */
export type CallReceiver = (call: RelayCall, answer: HttpRelayAnswer) => Promise<void>;

/** Settings of a {@linkcode CallerServer}. */
export interface CallerServerSettings {
    readonly clock: Clock;
    readonly headers: RelayHeaders;
    readonly receive: CallReceiver;
    /** Called with errors thrown by the receiver. */
    readonly onError: (error: unknown) => void;
    /** Called when this node closes the connection of a call before its answer is complete. */
    readonly onCut: (call: CutCall) => void;
}

/** Reads calls within the limits and passes each one to the receiver once it is complete. */
export class CallerServer {
    /** Number of calls whose response is still open. */
    openCalls = 0;
    private readonly server: Server;
    private readonly readCalls = new Set<OpenCall>();
    private readonly unreadCalls = new Map<IncomingMessage, HttpRelayAnswer>();
    private limits = INITIAL_LIMITS;
    private isDraining = false;

    /** @param settings See {@linkcode CallerServerSettings}. */
    constructor(private readonly settings: CallerServerSettings) {
        this.server = createServer({
            maxHeaderSize: MAX_HEAD_BYTES,
            requestTimeout: 0,
            connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
            noDelay: true,
        });
        this.server.on("request", (request, response) => this.handleRequest(request, response));
        this.setLimits(INITIAL_LIMITS);
    }

    /** Applies the limits of a configuration. */
    setLimits(limits: CallerLimits): void {
        this.limits = limits;
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
        this.server.headersTimeout = limits.headerTimeoutMs;
    }

    /** Starts listening. */
    async listen(host: string, port: number): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen({ host, port, backlog: LISTEN_BACKLOG }, resolve);
        });
    }

    /** Port that the server listens on; 0 if it does not listen on a port. */
    get port(): number {
        const address = this.server.address();
        return typeof address === "object" && address ? address.port : 0;
    }

    /** Starts draining connections: each further answer closes its connection. */
    startDraining(): void {
        this.isDraining = true;
    }

    /** Stops listening and closes idle connections. */
    stopListening(): void {
        this.server.close();
        this.server.closeIdleConnections();
    }

    /** Refuses the calls of which only a part has been read. */
    refuseUnread(): void {
        for (const [request, answer] of this.unreadCalls) {
            refuse(request, answer, { status: 503, text: "The node is stopping.", retryAfterMs: STOPPING_RETRY_AFTER_MS });
        }
    }

    /** Stops listening and closes all connections immediately. */
    closeAll(): void {
        for (const call of this.readCalls) {
            this.reportCut(call, CutCause.Stop);
        }
        this.server.close();
        this.server.closeAllConnections();
    }

    private reportCut(call: OpenCall, cause: CutCause): void {
        if (this.readCalls.delete(call)) {
            const { id, answer, arrivedAtMs } = call;
            const ageMs = this.settings.clock.now() - arrivedAtMs;
            this.settings.onCut({ id, cause, isAnswerStarted: answer.isStarted, ageMs });
        }
    }

    /** Closes a connection after an answer; further calls that were read from it get none. */
    private closeAfterAnswer(socket: Socket): void {
        for (const call of this.readCalls) {
            if (call.socket === socket) {
                this.reportCut(call, CutCause.EarlierAnswer);
            }
        }
        socket.destroySoon();
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse): void {
        const callerAbort = new AbortController();
        const answer = new HttpRelayAnswer(response, () => this.isDraining);
        this.openCalls += 1;
        this.unreadCalls.set(request, answer);
        let openCall: OpenCall | undefined;
        response.on("finish", () => {
            if (openCall !== undefined) {
                this.readCalls.delete(openCall);
            }
            if (this.isDraining || answer.closesConnection) {
                this.closeAfterAnswer(request.socket);
            }
        });
        response.on("close", () => {
            this.openCalls -= 1;
            this.unreadCalls.delete(request);
            if (openCall !== undefined) {
                this.readCalls.delete(openCall);
            }
            if (!response.writableFinished) {
                callerAbort.abort();
            }
        });
        request.on("error", () => callerAbort.abort());
        if (headerBytes(request.rawHeaders) > this.limits.maxHeaderBytes) {
            refuse(request, answer, { status: 431, text: `The headers are larger than ${this.limits.maxHeaderBytes} bytes.` });
            return;
        }
        const head = this.settings.headers.readCall(request.rawHeaders);
        if (typeof head === "string") {
            refuse(request, answer, { status: 400, text: head });
            return;
        }
        const chunks: Buffer[] = [];
        let size = 0;
        request.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > this.limits.maxBodyBytes) {
                chunks.length = 0;
                refuse(request, answer, { status: 413, text: `The body is larger than ${this.limits.maxBodyBytes} bytes.` });
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => {
            this.unreadCalls.delete(request);
            if (answer.isStarted || callerAbort.signal.aborted) {
                return;
            }
            const arrivedAtMs = this.settings.clock.now();
            const readCall = { id: head.id, socket: request.socket, answer, arrivedAtMs };
            openCall = readCall;
            this.readCalls.add(readCall);
            const call = {
                head,
                method: request.method ?? "GET",
                target: request.url ?? "/",
                body: chunks.length === 1 ? chunks[0] ?? Buffer.alloc(0) : Buffer.concat(chunks),
                arrivedAtMs,
                callerGone: callerAbort.signal,
            };
            this.settings.receive(call, answer).catch((error: unknown) => {
                this.settings.onError(error);
                if (answer.isStarted && !answer.isEnded) {
                    this.reportCut(readCall, CutCause.InternalError);
                }
                answer.failInside();
            });
        });
    }
}

/** Returns the size of headers on the wire, given as a flat list of names and values, in bytes. */
function headerBytes(rawHeaders: readonly string[]): number {
    // Each name is followed by a colon and a space, each value by CRLF; the HTTP parser decodes headers as Latin-1.
    return rawHeaders.reduce((bytes, text) => bytes + text.length + 2, 0);
}

function refuse(request: IncomingMessage, answer: HttpRelayAnswer, localAnswer: LocalAnswer): void {
    if (!answer.isStarted) {
        answer.closeAfterwards();
        answer.sendLocal(localAnswer);
        request.resume();
    }
}
