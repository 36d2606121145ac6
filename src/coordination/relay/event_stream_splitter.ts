/**
 * Splits a stream of server-sent events into complete events without changing its bytes.
 *
 * Follows section 9.2.6 of the HTML standard, "Interpreting an event stream".
 *
 * @module
 */

import { GrowingBuffer } from "../../state/relay/mod.js";

/** Largest incomplete event that is buffered, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;

/** Line feed. */
const LF = 0x0a;

/** Carriage return. */
const CR = 0x0d;

/** Prefix of the line that holds an event's id. */
const ID_FIELD = Buffer.from("id:");

/** Events completed by a chunk. */
export interface CompleteEvents {
    /** Bytes of the events, including the blank lines that end them. */
    readonly bytes: Buffer;
    readonly count: number;
}

/**
 * Buffers an event until the blank line that ends it, and tracks the id of the last complete event. Each byte is scanned once, however
 * many chunks an event arrives in.
 */
export class EventStreamSplitter {
    /** Id of the last complete event that has one. */
    lastEventId: string | undefined;
    private readonly partialEvent = new GrowingBuffer();
    /** Offset in the buffered event from which the next line end is searched. */
    private scannedTo = 0;
    /** Offset in the buffered event at which the line that is scanned begins. */
    private lineStart = 0;
    /** Id of the event that is not complete. */
    private partialEventId: string | undefined;

    /** Whether an incomplete event is buffered. */
    get hasPartialEvent(): boolean {
        return this.partialEvent.length > 0;
    }

    /** Size of the buffered event, in bytes. */
    get partialLength(): number {
        return this.partialEvent.length;
    }

    /** Whether the buffered event exceeds 1,048,576 bytes; the stream must not be read further. */
    get isEventTooLong(): boolean {
        return this.partialEvent.length > MAX_EVENT_BYTES;
    }

    /** Discards the buffered event, which will not be completed. */
    dropPartialEvent(): void {
        this.partialEvent.clear();
        this.startEvent(0);
    }

    /** Adds the next bytes of the stream. */
    push(chunk: Buffer): CompleteEvents {
        const isBuffered = this.partialEvent.length > 0;
        if (isBuffered) {
            this.partialEvent.append(chunk);
        }
        const data = isBuffered ? this.partialEvent.bytes : chunk;
        const { end, count } = this.scan(data);
        this.scannedTo -= end;
        this.lineStart -= end;
        if (isBuffered) {
            return { bytes: end === 0 ? data.subarray(0, 0) : this.partialEvent.takeFirst(end), count };
        }
        if (end < data.length) {
            this.partialEvent.append(data.subarray(end));
        }
        return { bytes: data.subarray(0, end), count };
    }

    /** Scans to the last line end. Returns the offset behind the last complete event, and the number of those. */
    private scan(data: Buffer): { readonly end: number; readonly count: number } {
        let end = 0;
        let count = 0;
        for (let at = data.indexOf(LF, this.scannedTo); at >= 0; at = data.indexOf(LF, this.scannedTo)) {
            const blankEnd = findBlankEnd(data, at);
            if (blankEnd === undefined) {
                // The bytes that decide have not arrived.
                this.scannedTo = at;
                return { end, count };
            }
            this.readLine(data, at);
            if (blankEnd === 0) {
                this.lineStart = at + 1;
                this.scannedTo = at + 1;
                continue;
            }
            this.lastEventId = this.partialEventId ?? this.lastEventId;
            this.startEvent(blankEnd);
            end = blankEnd;
            count += 1;
        }
        this.scannedTo = data.length;
        return { end, count };
    }

    private startEvent(offset: number): void {
        this.scannedTo = offset;
        this.lineStart = offset;
        this.partialEventId = undefined;
    }

    private readLine(data: Buffer, lineEnd: number): void {
        const valueStart = this.lineStart + ID_FIELD.length;
        const isId = data[this.lineStart] === ID_FIELD[0] && data.subarray(this.lineStart, valueStart).equals(ID_FIELD);
        if (isId && this.partialEventId === undefined) {
            this.partialEventId = data.toString("latin1", valueStart, lineEnd).trim();
        }
    }
}

/** Returns the offset behind the blank line after a line feed, 0 if the next line is not blank, or `undefined` if it has not arrived. */
function findBlankEnd(data: Buffer, lineFeedAt: number): number | undefined {
    const next = data[lineFeedAt + 1];
    if (next === LF) {
        return lineFeedAt + 2;
    }
    if (next === undefined) {
        return undefined;
    }
    if (next !== CR) {
        return 0;
    }
    const afterNext = data[lineFeedAt + 2];
    if (afterNext === undefined) {
        return undefined;
    }
    return afterNext === LF ? lineFeedAt + 3 : 0;
}
