/**
 * Reading of an answer ahead of the decision whether it is used.
 *
 * @module
 */

import { type AnswerHead, AttemptAnswer } from "../../protocol/relay/mod.js";
import { BlockBuffer } from "../../state/relay/mod.js";
import { MAX_ANSWER_BYTES } from "./answer_reader.js";
import { EventStreamSplitter } from "./event_stream_splitter.js";

/** Reads the beginning of an answer, which its reader then gets as if it had just arrived. */
export class ReadAheadAnswer extends AttemptAnswer {
    private head: AnswerHead | undefined;
    private readonly unread = new BlockBuffer();
    private isEnded = false;

    /** @param answer Answer to read. */
    constructor(private readonly answer: AttemptAnswer) {
        super();
    }

    override async awaitHead(): Promise<AnswerHead> {
        this.head ??= await this.answer.awaitHead();
        return this.head;
    }

    override async next(): Promise<Buffer | undefined> {
        if (this.unread.length > 0) {
            return this.unread.take();
        }
        return this.isEnded ? undefined : await this.answer.next();
    }

    override recordRead(heldBytes: number, events: number): void {
        this.answer.recordRead(heldBytes, events);
    }

    override cancel(): void {
        this.answer.cancel();
    }

    /**
     * Reads ahead to the end of the first event, or of the answer.
     *
     * @returns Whether the answer has a complete event, or is complete without one.
     * @throws {AttemptError} When the answer breaks off before.
     */
    async readEvent(): Promise<boolean> {
        const splitter = new EventStreamSplitter();
        while (!splitter.isEventTooLong) {
            const chunk = await this.readChunk();
            if (chunk === undefined) {
                return !splitter.hasPartialEvent;
            }
            if (splitter.push(chunk).count > 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Reads ahead to the end of the answer.
     *
     * @returns The body, or `undefined` if it is longer than answers that are read whole may be.
     * @throws {AttemptError} When the body is truncated.
     */
    async readBody(): Promise<Buffer | undefined> {
        for (let chunk = await this.readChunk(); chunk !== undefined; chunk = await this.readChunk()) {
            if (this.unread.length > MAX_ANSWER_BYTES) {
                return undefined;
            }
        }
        // The reader may still ask for the bytes.
        return this.unread.copy();
    }

    private async readChunk(): Promise<Buffer | undefined> {
        const chunk = await this.answer.next();
        if (chunk === undefined) {
            this.isEnded = true;
            return undefined;
        }
        this.unread.append(chunk);
        this.answer.recordRead(this.unread.length, 0);
        return chunk;
    }
}
