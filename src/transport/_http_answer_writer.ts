/**
 * Writer of HTTP responses to callers.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { type AnswerHead, AnswerWriter } from "../protocol/mod.js";
import { breakOff } from "./broken_answer.js";

/** Writes an answer to an HTTP response. Chunks written in the same turn of the event loop are sent in one write. */
export class HttpAnswerWriter extends AnswerWriter {
    private pendingChunks: Uint8Array[] = [];
    private readonly flushPending = () => this.flush();

    /**
     * @param response Response of the HTTP server.
     * @param closesConnection Returns whether the connection is to be closed after this answer; asked when the head is written.
     */
    constructor(private readonly response: ServerResponse, private readonly closesConnection: () => boolean) {
        super();
    }

    override get started(): boolean {
        return this.response.headersSent;
    }

    override writeHead(head: AnswerHead): void {
        const headers: Record<string, string> = { "content-type": head.contentType, ...head.headers };
        if (this.closesConnection()) {
            headers["connection"] = "close";
        }
        this.response.writeHead(head.status, headers);
    }

    override async write(chunk: Uint8Array): Promise<void> {
        if (this.pendingChunks.length === 0) {
            process.nextTick(this.flushPending);
        }
        this.pendingChunks.push(chunk);
        if (this.response.writableNeedDrain && !this.response.destroyed) {
            await this.awaitDrain();
        }
    }

    override writeComplete(head: AnswerHead, body: Uint8Array): void {
        this.writeHead({ ...head, headers: { ...head.headers, "content-length": String(body.length) } });
        this.response.end(body);
    }

    override end(): void {
        const remaining = Buffer.concat(this.pendingChunks);
        this.pendingChunks = [];
        this.response.end(remaining);
    }

    override abort(): void {
        this.pendingChunks = [];
        breakOff(this.response);
    }

    private flush(): void {
        if (this.pendingChunks.length > 0 && !this.response.destroyed) {
            this.response.write(this.pendingChunks.length === 1 ? this.pendingChunks[0] : Buffer.concat(this.pendingChunks));
        }
        this.pendingChunks = [];
    }

    private awaitDrain(): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                this.response.off("drain", finish);
                this.response.off("close", finish);
                resolve();
            };
            this.response.on("drain", finish);
            this.response.on("close", finish);
        });
    }
}
