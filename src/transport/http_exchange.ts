/**
 * One HTTP request to a backend server and its streamed answer.
 *
 * @module
 */

import { channel } from "node:diagnostics_channel";
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import type { Dispatcher, Pool } from "undici";
import { DispatchStep } from "../protocol/relay/mod.js";
import { SocketHold } from "./_socket_hold.js";

/** Unread bytes of an answer above which the connection is paused. */
const MAX_QUEUED_BYTES = 256 * 1024;

/** Interim answers, such as 102, after which an exchange fails. */
const MAX_INTERIM_ANSWERS = 16;

/** The transfer coding that is read (RFC 9112, section 7); with another one, an answer may end with its connection. */
const CHUNKED_CODING = "chunked";

/** Empty line written to detect a reset connection; RFC 9112, section 2.2, asks servers to ignore it before a request line. */
const RESET_PROBE = "\r\n";

/** Receives the socket of the request that is being written, which undici publishes in its next diagnostics message. */
let onRequestSocket: ((socket: Socket) => void) | undefined;

channel("undici:client:sendHeaders").subscribe(message => {
    onRequestSocket?.((message as { readonly socket: Socket }).socket);
    onRequestSocket = undefined;
});

/** Request of an {@linkcode HttpExchange}. */
export interface HttpExchangeRequest {
    readonly method: string;
    readonly path: string;
    /** Map of names to values, or a flat list of alternating names and values in wire order. */
    readonly headers: Readonly<Record<string, string>> | string[];
    readonly body?: Buffer;
    /** Asked once a connection is open: whether the request may still be written. Defaults to always. */
    readonly mayWrite?: () => boolean;
}

/** Reason with which an exchange fails whose request may not be written any more. */
const TOO_LATE = new Error("its time was over before a connection was open");

/** Sends one request and buffers its answer until it is read. */
export class HttpExchange {
    /** Status code of the answer; 0 until the head has arrived. */
    status = 0;
    /** Headers of the answer. */
    headers: IncomingHttpHeaders = {};
    private step = DispatchStep.Connect;
    private readonly queuedChunks: Buffer[] = [];
    private queuedBytes = 0;
    private ended = false;
    private isCloseDelimited = false;
    private interimAnswers = 0;
    private error: Error | undefined;
    private socket: Socket | undefined;
    private socketHold: SocketHold | undefined;
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
        if (signal.aborted) {
            this.fail(signal.reason as Error);
            return;
        }
        signal.addEventListener("abort", this.onAbort);
        const { method, path, headers, body } = request;
        pool.dispatch({ method: method as "GET", path, headers, body }, {
            onRequestStart: controller => this.handleStart(controller),
            onResponseStart: (controller, status, responseHeaders) => this.handleHead(status, responseHeaders),
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
     * Waits for the next chunk of the answer.
     *
     * @returns The chunk, or `undefined` at the end of the answer.
     * @throws {Error} If the exchange fails before the end of the answer.
     */
    async next(): Promise<Buffer | undefined> {
        for (;;) {
            const chunk = this.queuedChunks.shift();
            if (chunk !== undefined) {
                this.queuedBytes -= chunk.length;
                if (this.queuedBytes <= MAX_QUEUED_BYTES) {
                    this.socketHold?.release();
                }
                return chunk;
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

    private handleStart(controller: Dispatcher.DispatchController): void {
        if (this.error === undefined && this.request.mayWrite?.() === false) {
            this.fail(TOO_LATE);
        }
        if (this.error !== undefined) {
            controller.abort(this.error);
            return;
        }
        this.controller = controller;
        this.step = DispatchStep.AwaitHead;
        onRequestSocket = socket => {
            this.socket = socket;
            this.socketHold = new SocketHold(socket);
        };
    }

    private handleHead(status: number, headers: IncomingHttpHeaders): void {
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
        this.status = status;
        this.headers = headers;
        this.step = DispatchStep.AwaitFirstToken;
        if (headers["content-length"] === undefined && coding === undefined) {
            this.probeForReset();
        }
        this.wakeReader();
    }

    private handleChunk(chunk: Buffer): void {
        if (this.error !== undefined) {
            return;
        }
        this.step = DispatchStep.ReadBody;
        this.queuedChunks.push(chunk);
        this.queuedBytes += chunk.length;
        if (this.queuedBytes > MAX_QUEUED_BYTES) {
            this.socketHold?.hold();
        }
        this.wakeReader();
    }

    /**
     * Detects a connection reset in a close-delimited answer. Such an answer ends when its connection closes, and a reset that
     * arrives right after the last bytes is reported as a regular close. Only a write to the socket fails then.
     */
    private probeForReset(): void {
        const { socket } = this;
        this.isCloseDelimited = true;
        socket?.prependOnceListener("end", () => socket.write(RESET_PROBE));
    }

    private handleEnd(): void {
        if (this.error !== undefined) {
            return;
        }
        if (this.isCloseDelimited && this.socket?.errored) {
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
        }
    }

    private settle(): void {
        this.socketHold?.release();
        this.signal.removeEventListener("abort", this.onAbort);
        this.wakeReader();
    }

    private awaitChange(): Promise<void> {
        return new Promise(resolve => {
            this.wakeReader = resolve;
        });
    }
}
