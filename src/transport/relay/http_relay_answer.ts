/**
 * Writer of HTTP/1.1 responses to callers of opaque calls.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { type HeaderList, type LocalAnswer, RelayAnswer } from "../../protocol/relay/mod.js";

const MS_PER_SECOND = 1_000;

/** Writes the answer to one call. */
export class HttpRelayAnswer extends RelayAnswer {
    private mustClose = false;
    private hasClosingHead = false;

    /**
     * @param response Response of the HTTP server.
     * @param isDraining Returns whether the node is draining, so that connections are closed after their current answer.
     * @param nodeHeaders Headers that every answer has, besides those of its server.
     */
    constructor(
        private readonly response: ServerResponse,
        private readonly isDraining: () => boolean,
        private readonly nodeHeaders: readonly string[] = [],
    ) {
        super();
        response.sendDate = false;
    }

    override get isStarted(): boolean {
        return this.response.headersSent;
    }

    /** Whether the head that was written says that the connection closes after this answer. */
    get closesConnection(): boolean {
        return this.hasClosingHead;
    }

    /** Closes the connection after this answer. */
    closeAfterwards(): void {
        this.mustClose = true;
    }

    override sendComplete(status: number, headers: HeaderList, body: Buffer): void {
        this.writeHead(status, [...headers, "content-length", String(body.length)]);
        this.response.end(body);
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
    }

    override abort(): void {
        this.response.destroy();
    }

    override sendLocal({ status, text, retryAfterMs }: LocalAnswer): void {
        const body = Buffer.from(`${JSON.stringify({ error: text })}\n`);
        const headers = ["content-type", "application/json", "content-length", String(body.length)];
        if (retryAfterMs !== undefined) {
            headers.push("retry-after", (retryAfterMs / MS_PER_SECOND).toFixed(2));
        }
        this.writeHead(status, headers);
        this.response.end(body);
    }

    private writeHead(status: number, headers: string[]): void {
        headers.push(...this.nodeHeaders);
        if (this.mustClose || this.isDraining()) {
            headers.push("connection", "close");
            this.hasClosingHead = true;
        }
        this.response.writeHead(status, headers);
    }
}
