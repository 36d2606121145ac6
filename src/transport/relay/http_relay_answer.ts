/**
 * Writer of HTTP/1.1 responses to callers of opaque calls.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { type HeaderList, type LocalAnswer, RelayAnswer } from "../../protocol/relay/mod.js";
import type { MemoryBudget } from "../../state/relay/mod.js";
import { breakOff } from "../broken_answer.js";
import { CallTurn } from "./call_turn.js";

const MS_PER_SECOND = 1_000;

/** Version of HTTP in which an answer without a length ends with its connection. */
const UNCHUNKED_VERSION = "1.0";

/** Unread bytes of a complete answer up to which its memory is not counted. */
const MAX_UNCOUNTED_BYTES = 16_384;

/** Writes the answer to one call. */
export class HttpRelayAnswer extends RelayAnswer {
    private mustClose = false;
    private wasAborted = false;

    /**
     * @param response Response of the HTTP server.
     * @param closesConnection Called when the head is written: returns whether the connection closes after this answer.
     * @param nodeHeaders Headers that every answer has, besides those of its server.
     * @param callTurn Turn of the call on its connection.
     * @param memory Memory of complete answers that the caller does not read; by default, they are not counted.
     */
    constructor(
        private readonly response: ServerResponse,
        private readonly closesConnection: () => boolean,
        private readonly nodeHeaders: readonly string[] = [],
        private readonly callTurn = new CallTurn(),
        private readonly memory?: MemoryBudget,
    ) {
        super();
        response.sendDate = false;
    }

    override get isStarted(): boolean {
        return this.response.headersSent;
    }

    override get turn(): CallTurn | undefined {
        return this.callTurn.hasCome ? undefined : this.callTurn;
    }

    override promiseWhole(): void {
        this.callTurn.settle();
    }

    /** Whether the whole answer was written. */
    get isEnded(): boolean {
        return this.response.writableEnded;
    }

    /** Whether the connection is closed without the whole answer. */
    get isAborted(): boolean {
        return this.wasAborted;
    }

    /** Closes the connection after this answer. */
    closeAfterwards(): void {
        this.mustClose = true;
    }

    override sendComplete(status: number, headers: HeaderList, body: Buffer): void {
        this.writeHead(status, [...headers, "content-length", String(body.length)]);
        this.response.end(body);
        this.callTurn.settle();
        // The answer's sender has returned its memory by then, and a caller that reads has got it.
        setImmediate(() => this.countUnread());
    }

    /** Counts an answer whose caller does not read it, and breaks it off when it is evicted. */
    private countUnread(): void {
        const { writableLength, destroyed } = this.response;
        if (this.memory === undefined || destroyed || writableLength <= MAX_UNCOUNTED_BYTES) {
            return;
        }
        const share = this.memory.open(() => this.abort());
        share.resize(writableLength);
        this.response.on("close", () => share.close());
    }

    override start(status: number, headers: HeaderList): void {
        this.writeHead(status, [...headers]);
        this.response.flushHeaders();
    }

    override async write(chunk: Buffer): Promise<void> {
        if (this.response.destroyed || this.response.write(chunk)) {
            return;
        }
        await new Promise<void>(resolve => {
            const finish = () => {
                this.response.off("drain", finish);
                this.response.off("close", finish);
                resolve();
            };
            this.response.on("drain", finish);
            this.response.on("close", finish);
        });
    }

    override end(): void {
        this.response.end();
        if (this.response.req.httpVersion !== UNCHUNKED_VERSION) {
            this.callTurn.settle();
        }
    }

    /** Ends an answer whose call failed inside the node with an error of which it is not known whether the call has run. */
    failInside(): void {
        if (this.isEnded) {
            return;
        }
        if (this.isStarted) {
            this.abort();
            return;
        }
        this.sendLocal({ status: 502, text: "The call may have run: an error inside the node ended it." });
    }

    override abort(): void {
        this.wasAborted = true;
        breakOff(this.response);
    }

    override sendLocal({ status, text, retryAfterMs }: LocalAnswer): void {
        const body = Buffer.from(`${JSON.stringify({ error: text })}\n`);
        const headers = ["content-type", "application/json", "content-length", String(body.length)];
        if (retryAfterMs !== undefined) {
            headers.push("retry-after", (retryAfterMs / MS_PER_SECOND).toFixed(2));
        }
        this.writeHead(status, headers);
        this.response.end(body);
        this.callTurn.settle();
    }

    private writeHead(status: number, headers: string[]): void {
        headers.push(...this.nodeHeaders);
        if (this.mustClose || this.closesConnection()) {
            headers.push("connection", "close");
        }
        this.response.writeHead(status, headers);
    }
}
