/**
 * HTTP server for callers.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import {
    CALLER_GONE,
    type CallHandler,
    Executed,
    type IncomingCall,
    NODE_STOPPED,
    Refusal,
    RefusalType,
} from "../protocol/mod.js";
import { afterArrivedInput, type Clock } from "../state/mod.js";
import { CallerConnection } from "./_caller_connection.js";
import { HttpAnswerWriter } from "./_http_answer_writer.js";
import { BodyCollector, discardBody, MAX_DISCARDING_HEAD_BYTES } from "./body_collector.js";
import { ConnectionBound } from "./connection_bound.js";
import { ConnectionLimits } from "./connection_limits.js";
import { dropHead } from "./held_head.js";
import { InputLimits } from "./input_limits.js";
import { InterimHeads } from "./interim_heads.js";
import { listen } from "./listen.js";
import { DEFAULT_PIECES_PER_MS } from "./read_pacer.js";
import { SlicedInput } from "./sliced_input.js";
import { SpreadRetryAfter } from "./spread_retry_after.js";
import { offersUpgrade } from "./upgrade_offer.js";

/** Maximum size of the body of a call, in bytes. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Maximum total size of the bodies held in memory at a time, over all calls, in bytes. */
export const MAX_HELD_BODY_BYTES = 64 * 1024 * 1024;

/** Maximum number of headers of a call. */
const MAX_HEADER_COUNT = 100;

/** Maximum total size of the headers of a call, in bytes. */
const MAX_HEADER_BYTES = 32 * 1024;

/** Maximum number of connections from callers. */
export const MAX_CALLER_CONNECTIONS = 8_192;

/** Time within which a caller must send the headers, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;

/** Time within which a caller must send the complete request, in milliseconds. */
const BODY_TIMEOUT_MS = 30_000;

/** Interval at which connections are checked for callers that are too slow, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;

/** Multiple of the maximum body size up to which a refused body is read and discarded, so that its caller reads the refusal. */
const MAX_DISCARDED_BODY_FACTOR = 2;

/** Factor by which one body in chunks of a byte may be read faster than it has to be to come in time. */
const PACE_MARGIN = 1.25;

/** Retry-after time sent to callers of a node that has stopped, in milliseconds. */
const STOPPED_RETRY_AFTER_MS = 1_000;

/** Version of HTTP in which each call has to have a Host header (RFC 9112, section 3.2). */
const HOST_VERSION = "1.1";

/** Error code of a connection that its peer reset. */
const CONNECTION_RESET = "ECONNRESET";

/** Answer to a request for an operations path, such as `/metrics`. */
export interface OperationsPage {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

/** Limits of a {@linkcode HttpServer}. */
export interface HttpServerLimits {
    /** Maximum size of the body of a call, in bytes. Defaults to {@linkcode MAX_BODY_BYTES}. */
    readonly maxBodyBytes: number;
    /** Maximum total size of the bodies held in memory at a time, in bytes. Defaults to {@linkcode MAX_HELD_BODY_BYTES}. */
    readonly maxHeldBodyBytes: number;
    /** Time within which a caller must send the headers, in milliseconds. Defaults to 10,000. */
    readonly headersTimeoutMs: number;
    /** Time within which a caller must send the complete request, in milliseconds. Defaults to 30,000. */
    readonly bodyTimeoutMs: number;
}

/** Limits that apply unless the settings override them. */
const DEFAULT_LIMITS: HttpServerLimits = {
    maxBodyBytes: MAX_BODY_BYTES,
    maxHeldBodyBytes: MAX_HELD_BODY_BYTES,
    headersTimeoutMs: HEADERS_TIMEOUT_MS,
    bodyTimeoutMs: BODY_TIMEOUT_MS,
};

/** Settings of a {@linkcode HttpServer}. */
export interface HttpServerSettings {
    readonly clock: Clock;
    /** Bound on the number of connections. Defaults to one of {@linkcode MAX_CALLER_CONNECTIONS}. */
    readonly connectionBound?: ConnectionBound;
    /** Overrides of the default limits. */
    readonly limits?: Partial<HttpServerLimits>;
    /** Id of this node, used as the prefix of call ids. */
    readonly node: string;
    /** Handles the calls. */
    readonly handler: CallHandler;
    /** Returns the answer for `/metrics`, `/healthz` and `/readyz`, and `undefined` for any other path. */
    readonly operationsPage: (path: string) => Promise<OperationsPage | undefined>;
    /** Called with errors that the handler or the operations page throws, and of the listening server. Defaults to ignoring them. */
    readonly onError?: (error: unknown) => void;
}

/** Accepts calls over HTTP and passes them to the handler. */
export class HttpServer {
    private readonly server: Server;
    private readonly interimHeads: InterimHeads;
    private readonly limits: HttpServerLimits;
    private readonly connectionBySocket = new Map<Socket, CallerConnection>();
    /** Functions that refuse the calls of which only a part has come, by their connections. */
    private readonly unreadCalls = new Map<Socket, (refusal: Refusal) => void>();
    private readonly inputLimits: InputLimits;
    private readonly retryAfter = new SpreadRetryAfter();
    private callCount = 0;
    private isClosing = false;
    private isStopped = false;
    /** Aborts the calls that the handler serves. */
    private readonly callAborts = new Set<AbortController>();

    /** @param settings See {@linkcode HttpServerSettings}. */
    constructor(private readonly settings: HttpServerSettings) {
        this.limits = { ...DEFAULT_LIMITS, ...settings.limits };
        const { maxBodyBytes, maxHeldBodyBytes, bodyTimeoutMs } = this.limits;
        this.inputLimits = new InputLimits(settings.clock, maxHeldBodyBytes, {
            // The largest body is to come in time also if each of its chunks has one byte.
            piecesPerMs: Math.max(DEFAULT_PIECES_PER_MS, PACE_MARGIN * maxBodyBytes / bodyTimeoutMs),
            minEvictedBytes: 1,
        });
        this.server = createServer({
            maxHeaderSize: MAX_HEADER_BYTES,
            headersTimeout: this.limits.headersTimeoutMs,
            requestTimeout: this.limits.bodyTimeoutMs,
            connectionsCheckingInterval: Math.min(CONNECTION_CHECK_INTERVAL_MS, this.limits.bodyTimeoutMs),
            // The library would refuse such a call by itself and close the connection, also before the answers to calls behind it.
            requireHostHeader: false,
            noDelay: true,
        });
        this.server.maxHeadersCount = MAX_HEADER_COUNT + 1;
        const connectionLimits = new ConnectionLimits(this.server, {
            clock: settings.clock,
            bound: settings.connectionBound ??
                new ConnectionBound({ clock: settings.clock, maxConnections: MAX_CALLER_CONNECTIONS }),
            onIdle: socket => socket.destroySoon(),
            onGivenUp: socket => this.giveUp(socket),
        });
        this.interimHeads = new InterimHeads(this.server);
        new SlicedInput(this.server, this.inputLimits, connectionLimits);
        this.server.on("connection", socket => this.trackSocket(socket));
        this.server.on("request", (request, response) => this.handleRequest(request, response));
        this.server.on("connect", (request, socket) => this.handleTunnel(socket as Socket));
        this.server.on("clientError", (error, socket) => {
            connectionLimits.judgeError(error, socket as Socket, () => this.handleMalformed(error, socket as Socket));
        });
    }

    /** Number of open connections. */
    get connections(): number {
        return this.connectionBySocket.size;
    }

    /** Total size of the bodies held in memory, in bytes. */
    get bodyBytes(): number {
        return this.inputLimits.memory.usedBytes;
    }

    /** Number of bodies that were discarded because bodies took too much memory and theirs was the largest. */
    get evictions(): number {
        return this.inputLimits.memory.evictions;
    }

    /** Number of connections that wait for their turn because they bring many small pieces. */
    get pacedConnections(): number {
        return this.inputLimits.pacer.waitingConnections;
    }

    /** Starts listening and returns the bound port. */
    async listen(host: string, port: number): Promise<number> {
        await listen(this.server, { host, port, backlog: 4_096 }, error => this.settings.onError?.(error));
        return (this.server.address() as AddressInfo).port;
    }

    /**
     * Stops accepting connections and closes idle ones, after the calls that have arrived are read; the others are closed after their
     * answer.
     */
    async stopAccepting(): Promise<void> {
        this.isClosing = true;
        await new Promise<void>(resolve => afterArrivedInput(resolve));
        this.server.close();
        this.server.closeIdleConnections();
    }

    /** Ends the calls in progress, each with a refusal, and refuses calls whose bodies end later. */
    endCalls(): void {
        this.isStopped = true;
        for (const abort of this.callAborts) {
            abort.abort(NODE_STOPPED);
        }
    }

    /** Closes all connections immediately, including those with a call in progress. */
    close(): void {
        this.isClosing = true;
        this.server.close();
        this.server.closeAllConnections();
    }

    private trackSocket(socket: Socket): void {
        this.connectionBySocket.set(socket, new CallerConnection(socket, () => this.isClosing));
        socket.on("close", () => {
            this.connectionBySocket.delete(socket);
            this.unreadCalls.delete(socket);
        });
        socket.on("error", () => socket.destroy());
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse): void {
        const connection = this.connectionBySocket.get(request.socket);
        if (connection === undefined || connection.isEnding) {
            return;
        }
        connection.add(response, offersUpgrade(request));
        this.interimHeads.prepare(request, response);
        const writer = new HttpAnswerWriter(response, () => {
            return connection.decideClosingHead(response, this.interimHeads.giveUp(request, response));
        });
        this.answer(request, response, writer).catch((error: unknown) => {
            this.settings.onError?.(error);
            if (!response.writableEnded) {
                refuseAfterError(writer, error, Executed.Unknown);
            }
        });
    }

    private async answer(request: IncomingMessage, response: ServerResponse, writer: HttpAnswerWriter): Promise<void> {
        if (request.headers.host === undefined && request.httpVersion === HOST_VERSION) {
            this.discardBody(request);
            writer.refuse(
                new Refusal(RefusalType.InvalidRequest, "The call has no Host header. Send one.", { field: "headers" }),
            );
            return;
        }
        const [path = "/", search] = (request.url ?? "/").split("?", 2);
        let page: OperationsPage | undefined;
        try {
            page = request.method === "GET" ? await this.settings.operationsPage(path) : undefined;
        }
        catch (error) {
            this.settings.onError?.(error);
            this.discardBody(request);
            refuseAfterError(writer, error, Executed.No);
            return;
        }
        if (page !== undefined) {
            this.discardBody(request);
            writer.writeComplete(page, Buffer.from(page.body));
            return;
        }
        await this.handleCall(request, response, writer, { path, query: search === undefined ? "" : `?${search}` });
    }

    /** Refuses a message that is no call, after the calls before it on its connection have been answered. */
    private handleMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
        const connection = this.connectionBySocket.get(socket);
        if (connection === undefined || !socket.writable || error.code === CONNECTION_RESET) {
            refuseMalformed(error, socket);
            return;
        }
        connection.afterAnswers(() => refuseMalformed(error, socket));
    }

    /** Refuses a tunnel (RFC 9110, section 9.3.6), for which the HTTP library hands over the socket. */
    private handleTunnel(socket: Socket): void {
        socket.resume();
        socket.on("end", () => socket.destroy());
        // The library removes its listeners from a socket that it hands over.
        socket.on("error", () => socket.destroy());
        this.handleMalformed(new Error("The call asks for a tunnel."), socket);
    }

    private async handleCall(
        request: IncomingMessage,
        response: ServerResponse,
        writer: HttpAnswerWriter,
        target: CallTarget,
    ): Promise<void> {
        const abortController = new AbortController();
        response.on("close", () => {
            if (!response.writableFinished) {
                abortController.abort(CALLER_GONE);
            }
        });
        let body: BodyCollector | undefined;
        const headers = selectCallHeaders(request);
        try {
            body = await this.readBody(request);
        }
        catch (error) {
            this.discardBody(request);
            writer.refuse(error instanceof Refusal ? error : new Refusal(RefusalType.CallerGone, "The caller went away."));
            return;
        }
        if (this.isStopped) {
            body?.release();
            writer.refuse(new Refusal(RefusalType.NotReady, "The node has stopped.", { retryAfterMs: STOPPED_RETRY_AFTER_MS }));
            return;
        }
        this.callCount += 1;
        this.callAborts.add(abortController);
        try {
            const call = this.toCall(request, { ...target, ...headers, body: body?.take() ?? EMPTY_BODY, abortController });
            await this.settings.handler.handle(call, writer);
        }
        finally {
            this.callAborts.delete(abortController);
            body?.release();
        }
    }

    private toCall(
        request: IncomingMessage,
        parts: CallTarget & CallHeaders & { readonly body: Buffer; readonly abortController: AbortController },
    ): IncomingCall {
        return {
            ...parts,
            id: `${this.settings.node}-${this.callCount.toString(36)}-${Date.now().toString(36)}`,
            method: request.method ?? "GET",
        };
    }

    /** Closes a connection that has stalled, and refuses a call of which only a part has come. */
    private giveUp(socket: Socket): void {
        const refuse = this.unreadCalls.get(socket);
        if (refuse === undefined || socket.writableLength > 0) {
            // A refusal would wait behind an answer that is not read.
            socket.destroy();
            return;
        }
        refuse(
            new Refusal(RefusalType.Overloaded, "This node has too many connections, and no more of the call came. Try again.", {
                retryAfterMs: this.retryAfter.next(),
            }),
        );
        // The refusal is written by then.
        setImmediate(() => this.closeAfterAnswers(socket));
    }

    private discardBody(request: IncomingMessage): void {
        discardBody(request, this.inputLimits, () => this.closeAfterAnswers(request.socket));
    }

    /** Closes a connection once the calls that were read from it are answered. */
    private closeAfterAnswers(socket: Socket): void {
        if (!socket.writableEnded) {
            this.connectionBySocket.get(socket)?.afterAnswers(() => socket.destroySoon());
        }
    }

    /**
     * Reads the body of a call; `undefined` if it has none.
     *
     * @throws {Refusal} If the headers or the body exceed a limit. The rest of the body is discarded.
     */
    private readBody(request: IncomingMessage): Promise<BodyCollector | undefined> {
        checkHeaders(request);
        if (request.headers["content-length"] === undefined && request.headers["transfer-encoding"] === undefined) {
            return Promise.resolve(undefined);
        }
        const { maxBodyBytes } = this.limits;
        const headBytes = countHeadBytes(request);
        dropHead(request);
        return new Promise((resolve, reject) => {
            const body = new BodyCollector(request, {
                inputLimits: this.inputLimits,
                maxBytes: maxBodyBytes,
                headBytes,
                onProgress: size => {
                    if (size > maxBodyBytes) {
                        const text = `Body is larger than ${maxBodyBytes} bytes. Send a smaller one.`;
                        reject(new Refusal(RefusalType.BodyTooLarge, text, { field: "body" }));
                    }
                    if (size > maxBodyBytes * MAX_DISCARDED_BODY_FACTOR) {
                        this.closeAfterAnswers(request.socket);
                    }
                },
                onEvicted: () => {
                    const text = "This node holds as many bodies as it may. Try again.";
                    reject(new Refusal(RefusalType.Overloaded, text, { retryAfterMs: this.retryAfter.next() }));
                    if (headBytes > MAX_DISCARDING_HEAD_BYTES) {
                        // The refusal is written by then.
                        setImmediate(() => this.closeAfterAnswers(request.socket));
                    }
                },
            });
            this.unreadCalls.set(request.socket, refusal => {
                // The library does not tell of the end of a request that was answered before.
                body.release();
                reject(refusal);
            });
            request.on("end", () => {
                this.unreadCalls.delete(request.socket);
                resolve(body);
            });
            request.on("error", reject);
            request.on("aborted", () => reject(CALLER_GONE));
        });
    }
}

/** Body of a request that has none. */
const EMPTY_BODY = Buffer.alloc(0);

/** Path and query string of a request. */
interface CallTarget {
    readonly path: string;
    readonly query: string;
}

/** Headers of a call that its handler gets. */
type CallHeaders = Pick<IncomingCall, "bearerKey" | "idempotencyKey" | "operationName" | "contentType">;

function selectCallHeaders(request: IncomingMessage): CallHeaders {
    const { authorization } = request.headers;
    return {
        bearerKey: authorization?.startsWith("Bearer ") ? authorization.slice("Bearer ".length) : undefined,
        idempotencyKey: singleHeader(request, "idempotency-key"),
        operationName: singleHeader(request, "foxtailrail-operation"),
        contentType: request.headers["content-type"],
    };
}

function singleHeader(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return typeof value === "string" ? value : undefined;
}

/** Returns the size of the head of a request, in bytes; the HTTP parser decodes it as Latin-1. */
function countHeadBytes({ rawHeaders, url = "" }: IncomingMessage): number {
    return rawHeaders.reduce((bytes, text) => bytes + text.length, url.length);
}

function checkHeaders(request: IncomingMessage): void {
    if (request.rawHeaders.length / 2 > MAX_HEADER_COUNT) {
        throw new Refusal(RefusalType.InvalidRequest, `Call has more than ${MAX_HEADER_COUNT} headers. Send fewer.`, {
            field: "headers",
        });
    }
}

function refuseAfterError(writer: HttpAnswerWriter, error: unknown, executed: Executed): void {
    const text = error instanceof Error ? error.message : String(error);
    writer.refuse(new Refusal(RefusalType.BackendFailed, `The node failed: ${text}.`, { executed }));
}

function refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || error.code === CONNECTION_RESET) {
        socket.destroy();
        return;
    }
    const refusal = malformedRefusal(error.code);
    const body = refusal.toProblemDetails();
    const head = [
        `HTTP/1.1 ${refusal.status} Refused`,
        "Content-Type: application/problem+json",
        `Content-Length: ${Buffer.byteLength(body)}`,
        "Connection: close",
    ];
    socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
}

function malformedRefusal(code: string | undefined): Refusal {
    if (code === "HPE_HEADER_OVERFLOW") {
        return new Refusal(RefusalType.InvalidRequest, `Headers are larger than ${MAX_HEADER_BYTES} bytes. Send fewer.`, {
            field: "headers",
        });
    }
    if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
        return new Refusal(RefusalType.BodyTooSlow, "The call came too slowly. Send it again.", {
            field: "body",
            executed: Executed.No,
        });
    }
    return new Refusal(RefusalType.InvalidRequest, "The call is not valid HTTP/1.1. Correct it.", { field: "request" });
}
