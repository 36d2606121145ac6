/**
 * Splits a stream of server-sent events into complete events without changing its bytes.
 *
 * Follows section 9.2.6 of the HTML standard, "Interpreting an event stream".
 *
 * @module
 */

/** Largest incomplete event that is buffered, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;

/** Line feed. */
const LF = 0x0a;

/** Carriage return. */
const CR = 0x0d;

/** Prefix of the line that holds an event's id. */
const ID_FIELD = "id:";

/** Events completed by a chunk. */
export interface CompleteEvents {
    /** Bytes of the events, including the blank lines that end them. */
    readonly bytes: Buffer;
    readonly count: number;
}

/** Buffers an event until the blank line that ends it, and tracks the id of the last complete event. */
export class EventStreamSplitter {
    /** Id of the last complete event that has one. */
    lastEventId: string | undefined;
    private partialEvent: Buffer = Buffer.alloc(0);

    /** Whether an incomplete event is buffered. */
    get hasPartialEvent(): boolean {
        return this.partialEvent.length > 0;
    }

    /** Whether the buffered event exceeds 1,048,576 bytes; the stream must not be read further. */
    get isEventTooLong(): boolean {
        return this.partialEvent.length > MAX_EVENT_BYTES;
    }

    /** Discards the buffered event, which will not be completed. */
    dropPartialEvent(): void {
        this.partialEvent = Buffer.alloc(0);
    }

    /** Adds the next bytes of the stream. */
    push(chunk: Buffer): CompleteEvents {
        const data = this.partialEvent.length === 0 ? chunk : Buffer.concat([this.partialEvent, chunk]);
        let end = 0;
        let count = 0;
        for (let blank = findBlankLine(data, 0); blank >= 0; blank = findBlankLine(data, end)) {
            this.lastEventId = readEventId(data, end, blank) ?? this.lastEventId;
            end = blank;
            count += 1;
        }
        this.partialEvent = data.subarray(end);
        return { bytes: data.subarray(0, end), count };
    }
}

/** @returns Offset just after the next blank line, or -1. */
function findBlankLine(data: Buffer, from: number): number {
    for (let at = data.indexOf(LF, from); at >= 0; at = data.indexOf(LF, at + 1)) {
        if (data[at + 1] === LF) {
            return at + 2;
        }
        if (data[at + 1] === CR && data[at + 2] === LF) {
            return at + 3;
        }
    }
    return -1;
}

/** @returns Value of the event's id line, or `undefined` without one. */
function readEventId(data: Buffer, start: number, end: number): string | undefined {
    for (const line of data.toString("latin1", start, end).split("\n")) {
        if (line.startsWith(ID_FIELD)) {
            return line.slice(ID_FIELD.length).trim();
        }
    }
    return undefined;
}
