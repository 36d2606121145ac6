/**
 * One HTTP request to a backend server and its streamed answer.
 *
 * @module
 */

import { channel } from "node:diagnostics_channel";
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import type { Dispatcher, Pool } from "undici";
import { type AttemptConnection, DispatchStep } from "../protocol/relay/mod.js";
import { BlockBuffer, GrowingBuffer, type MemoryShare } from "../state/mod.js";
import { ConnectionEnd } from "./_connection_end.js";
import { SocketHold } from "./_socket_hold.js";
import { recordDroppedBuffer } from "./buffer_reclaimer.js";
import { InputLimits } from "./input_limits.js";
import { PacedInput, type ReadPacer } from "./read_pacer.js";

/** Unread bytes of an answer above which the connection is paused. */
const MAX_QUEUED_BYTES = 256 * 1024;

/** Interim answers, such as 102, after which an exchange fails. */
const MAX_INTERIM_ANSWERS = 16;

/** Lowest and highest status of an answer (RFC 9110, section 15). Callers and libraries give others no meaning, or fail on them. */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Lowest status of an answer after which the call may go on elsewhere. */
const MIN_UNUSED_STATUS = 300;

/** The transfer coding that is read (RFC 9112, section 7); with another one, an answer may end with its connection. */
const CHUNKED_CODING = "chunked";

/** First line of an answer. Within the head of another one, it shows that the rest of that head is missing. */
const STATUS_LINE = /HTTP\/\d\.\d [1-5]\d\d/;

/** Receives the socket of the request that is being written, which undici publishes in its next diagnostics message. */
let onRequestSocket: ((socket: Socket) => void) | undefined;

channel("undici:client:sendHeaders").subscribe(message => {
    onRequestSocket?.((message as { readonly socket: Socket }).socket);
    onRequestSocket = undefined;
});

/** Number of requests that each socket has carried. */
const requestsBySocket = new WeakMap<Socket, number>();

/** Request of an {@linkcode HttpExchange}. */
export interface HttpExchangeRequest {
    readonly method: string;
    readonly path: string;
    /** Map of names to values, or a flat list of alternating names and values in wire order. */
    readonly headers: Readonly<Record<string, string>> | string[];
    readonly body?: Buffer;
    /** Asked once a connection is open: whether the request may still be written. Defaults to always. */
    readonly mayWrite?: () => boolean;
    /** Limits that the answer shares with others. By default, it has its own. */
    readonly inputLimits?: InputLimits;
    /** Whether the id of the request was answered at the address before; for logs. */
    readonly hasAnsweredId?: boolean;
    /** Called when the answer is no success, before the connection may carry another request, or is not used for another reason. */
    readonly onUnused?: () => void;
}

/** Reason with which an exchange fails whose request may not be written any more. */
const NOT_ALLOWED = new Error("it was not allowed any more when a connection was open");

/** Reason with which an exchange fails whose answer is the largest while a node holds too many bytes. */
export const MEMORY_EXCEEDED = new Error("the memory for bytes of others is used up, and this answer holds most of it");

/** Pauses the socket of an exchange while its answer is paced. */
class PacedAnswer extends PacedInput {
    /**
     * @param pacer Pacer of the node.
     * @param onChange Called when the pause begins and ends.
     */
    constructor(pacer: ReadPacer, private readonly onChange: (isPaused: boolean) => void) {
        super(pacer);
    }

    protected override pause(): void {
        this.onChange(true);
    }

    protected override resume(): void {
        this.onChange(false);
    }
}

/** Sends one request and buffers its answer until it is read. */
export class HttpExchange {
    /** Status code of the answer; 0 until the head has arrived. */
    status = 0;
    /** Headers of the answer. */
    headers: IncomingHttpHeaders = {};
    private step = DispatchStep.Connect;
    /** Unread bytes: one chunk, which is passed on as it is, or several that were joined. */
    private queuedChunk: Buffer | undefined;
    private readonly queuedBytes = new GrowingBuffer();
    /** Bytes of the answer that its reader holds. */
    private readerBytes = 0;
    private readonly memoryShare: MemoryShare;
    private readonly pacedAnswer: PacedAnswer;
    private isPaced = false;
    private ended = false;
    /** End of the connection if it delimits the answer. */
    private connectionEnd: ConnectionEnd | undefined;
    private interimAnswers = 0;
    private error: Error | undefined;
    private socket: Socket | undefined;
    private socketHold: SocketHold | undefined;
    private earlierRequests = 0;
    private localPort: number | undefined;
    private writtenAtMs = 0;
    private controller: Dispatcher.DispatchController | undefined;
    private wakeReader: () => void = () => undefined;
    private readonly onAbort = () => this.cancel(this.signal.reason as Error);

    /**
     * Sends the request.
     *
     * @param pool Connection pool of the backend server.
     * @param request Request to send.
     * @param signal Cancels the exchange when aborted.
     */
    constructor(pool: Pool, private readonly request: HttpExchangeRequest, private readonly signal: AbortSignal) {
        const { memory, pacer } = request.inputLimits ?? new InputLimits();
        this.memoryShare = memory.open(() => this.handleEvicted());
        this.pacedAnswer = new PacedAnswer(pacer, isPaused => {
            this.isPaced = isPaused;
            this.updateHold();
        });
        if (signal.aborted) {
            this.fail(signal.reason as Error);
            return;
        }
        signal.addEventListener("abort", this.onAbort);
        const { method, path, headers, body } = request;
        pool.dispatch({ method: method as "GET", path, headers, body }, {
            onRequestStart: controller => this.handleStart(controller),
            onResponseStart: (controller, status, responseHeaders, reason) => this.handleHead(status, responseHeaders, reason),
            onResponseData: (controller, chunk) => this.handleChunk(chunk),
            onResponseEnd: () => this.handleEnd(),
            onResponseError: (controller, error) => this.fail(error),
        });
    }

    /**
     * Step that the exchange has reached. It is `Connect` as long as no byte of the request can have been sent, because undici
     * calls `onRequestStart` right before it writes the first byte to an open connection.
     */
    get reachedStep(): DispatchStep {
        return this.step;
    }

    /** Connection that carries the request; `undefined` as long as no byte of it can have been sent. */
    get connection(): AttemptConnection | undefined {
        return this.socket === undefined ? undefined : {
            localPort: this.localPort,
            earlierCalls: this.earlierRequests,
            hasAnsweredId: this.request.hasAnsweredId ?? false,
            sinceWriteMs: Math.round(performance.now() - this.writtenAtMs),
        };
    }

    /**
     * Waits for the head of the answer.
     *
     * @throws {Error} If the exchange fails before the head arrives.
     */
    async awaitHead(): Promise<void> {
        while (this.status === 0) {
            if (this.error !== undefined) {
                throw this.error;
            }
            await this.awaitChange();
        }
    }

    /**
     * Waits for more of the answer.
     *
     * @returns All bytes that have arrived and are not read, or `undefined` at the end of the answer.
     * @throws {Error} If the exchange fails before the end of the answer.
     */
    async next(): Promise<Buffer | undefined> {
        for (;;) {
            const bytes = this.takeQueued();
            if (bytes !== undefined) {
                return bytes;
            }
            if (this.error !== undefined) {
                throw this.error;
            }
            if (this.ended) {
                return undefined;
            }
            await this.awaitChange();
        }
    }

    /**
     * Reads the answer to its end.
     *
     * @param maxBytes Largest answer, in bytes.
     * @throws {RangeError} If the answer is larger.
     * @throws {Error} If the exchange fails before the end of the answer.
     */
    async readWhole(maxBytes: number): Promise<Buffer> {
        const body = new BlockBuffer();
        for (let chunk = await this.next(); chunk !== undefined; chunk = await this.next()) {
            body.append(chunk);
            if (body.length > maxBytes) {
                throw new RangeError(`Cannot read answer: it is larger than ${maxBytes} bytes`);
            }
            this.recordRead(body.length, 0);
        }
        return body.take();
    }

    /**
     * Records what the reader has made of the bytes that it has read.
     *
     * @param heldBytes Bytes of the answer that it holds, in all.
     * @param events Events that were complete with the last bytes.
     */
    recordRead(heldBytes: number, events: number): void {
        this.readerBytes = heldBytes;
        this.updateMemory();
        this.pacedAnswer.record(events);
    }

    /** Records that the answer is not used although it may be a success; see {@linkcode HttpExchangeRequest.onUnused}. */
    recordUnused(): void {
        this.request.onUnused?.();
    }

    /** Ends the accounting of the memory of the answer, which its reader no longer holds. */
    release(): void {
        this.memoryShare.close();
    }

    /** Cancels the exchange and resets its connection, unless its answer is complete or it has failed. */
    cancel(reason: Error): void {
        if (!this.ended && this.error === undefined) {
            this.fail(reason);
            if (this.socket === undefined) {
                this.controller?.abort(reason);
                return;
            }
            // After a graceful close, the kernel goes on retransmitting a request that a partition holds up. The request is not aborted
            // as well: the HTTP library takes the close for the end of an answer without a length, which must not be aborted then.
            this.socket.resetAndDestroy();
        }
    }

    /**
     * Closes the connection, unless it carries a later request: it has carried the answer to another request in place of the one to this,
     * which may follow. An exchange that has not ended fails.
     */
    rejectConnection(reason: Error): void {
        this.cancel(reason);
        const { socket } = this;
        const isLastRequest = socket !== undefined && requestsBySocket.get(socket) === this.earlierRequests + 1;
        if (isLastRequest) {
            socket.resetAndDestroy();
        }
    }

    private handleStart(controller: Dispatcher.DispatchController): void {
        if (this.error === undefined && this.request.mayWrite?.() === false) {
            this.fail(NOT_ALLOWED);
        }
        if (this.error !== undefined) {
            controller.abort(this.error);
            return;
        }
        this.controller = controller;
        this.step = DispatchStep.AwaitHead;
        onRequestSocket = socket => {
            this.socket = socket;
            this.localPort = socket.localPort;
            this.earlierRequests = requestsBySocket.get(socket) ?? 0;
            requestsBySocket.set(socket, this.earlierRequests + 1);
            this.writtenAtMs = performance.now();
            this.socketHold = new SocketHold(socket);
        };
    }

    private handleHead(status: number, headers: IncomingHttpHeaders, reason = ""): void {
        if (hasStatusLine(reason) || Object.values(headers).some(hasStatusLine)) {
            this.cancel(new Error("the server sent an answer within the head of another one"));
            return;
        }
        if (status < MIN_STATUS || status > MAX_STATUS) {
            this.cancel(new Error(`the server sent the status ${status}, which is none of an answer`));
            return;
        }
        if (status < 200) {
            this.interimAnswers += 1;
            if (this.interimAnswers > MAX_INTERIM_ANSWERS) {
                this.cancel(new Error(`the server sent more than ${MAX_INTERIM_ANSWERS} interim answers`));
            }
            return;
        }
        const coding = headers["transfer-encoding"];
        if (coding !== undefined && String(coding).trim().toLowerCase() !== CHUNKED_CODING) {
            this.cancel(new Error(`the server sent an answer in transfer coding ${String(coding)}, which is not read`));
            return;
        }
        if (status >= MIN_UNUSED_STATUS) {
            this.request.onUnused?.();
        }
        this.status = status;
        this.headers = headers;
        this.step = DispatchStep.AwaitFirstToken;
        if (headers["content-length"] === undefined && coding === undefined) {
            this.startConnectionEnd();
        }
        this.wakeReader();
    }

    private handleChunk(chunk: Buffer): void {
        if (this.error !== undefined) {
            return;
        }
        this.step = DispatchStep.ReadBody;
        if (this.queuedLength === 0) {
            this.queuedChunk = chunk;
        }
        else {
            if (this.queuedChunk !== undefined) {
                this.queuedBytes.append(this.queuedChunk);
                this.queuedChunk = undefined;
            }
            this.queuedBytes.append(chunk);
        }
        recordDroppedBuffer(chunk.length);
        this.pacedAnswer.record(1);
        this.updateHold();
        this.updateMemory();
        this.wakeReader();
    }

    private get queuedLength(): number {
        return this.queuedBytes.length + (this.queuedChunk?.length ?? 0);
    }

    private takeQueued(): Buffer | undefined {
        if (this.queuedLength === 0) {
            return undefined;
        }
        const bytes = this.queuedChunk ?? this.queuedBytes.take();
        this.queuedChunk = undefined;
        this.updateHold();
        this.updateMemory();
        return bytes;
    }

    private updateHold(): void {
        const isOpen = this.error === undefined && !this.ended;
        if (isOpen && (this.isPaced || this.queuedLength > MAX_QUEUED_BYTES)) {
            this.socketHold?.hold();
        }
        else {
            this.socketHold?.release();
        }
    }

    private updateMemory(): void {
        this.memoryShare.resize(this.queuedLength + this.readerBytes);
    }

    private handleEvicted(): void {
        this.queuedChunk = undefined;
        this.queuedBytes.clear();
        if (this.ended) {
            // The reader gets an error instead of the rest.
            this.error ??= MEMORY_EXCEEDED;
            return;
        }
        this.cancel(MEMORY_EXCEEDED);
    }

    private startConnectionEnd(): void {
        const { socket, socketHold: hold } = this;
        if (socket !== undefined && hold !== undefined) {
            const onIncomplete = (reason: Error) => this.cancel(reason);
            this.connectionEnd = new ConnectionEnd({ socket, hold, bodyBytes: this.request.body?.length ?? 0, onIncomplete });
        }
    }

    private handleEnd(): void {
        if (this.error !== undefined) {
            return;
        }
        if (this.connectionEnd !== undefined && this.socket?.errored) {
            this.fail(new Error("the connection was reset within an answer without a length"));
            return;
        }
        this.ended = true;
        this.settle();
    }

    private fail(error: Error): void {
        if (this.error === undefined && !this.ended) {
            this.error = error;
            this.settle();
            // Its reader may have gone; what is left of the answer is little.
            this.memoryShare.close();
        }
    }

    private settle(): void {
        this.connectionEnd?.stop();
        this.updateHold();
        this.signal.removeEventListener("abort", this.onAbort);
        this.wakeReader();
    }

    private awaitChange(): Promise<void> {
        return new Promise(resolve => {
            this.wakeReader = resolve;
        });
    }
}

/** @returns Whether a part of a head contains the first line of another one. */
function hasStatusLine(text: string | string[] | undefined): boolean {
    return Array.isArray(text) ? text.some(hasStatusLine) : text !== undefined && STATUS_LINE.test(text);
}
