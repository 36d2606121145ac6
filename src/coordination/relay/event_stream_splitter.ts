/**
 * Cuts a stream of server-sent events into whole events without changing a byte.
 *
 * After the HTML standard, section 9.2.6 "Interpreting an event stream".
 *
 * @module
 */

/** Longest event that is held until it is whole, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;

/** Line feed. */
const LF = 0x0a;

/** Carriage return. */
const CR = 0x0d;

/** Start of the line that names an event. */
const ID_FIELD = "id:";

/** Events that are whole now. */
export interface CompleteEvents {
    /** Bytes of the events, their blank lines included. */
    readonly bytes: Buffer;
    readonly count: number;
}

/** Holds the bytes of an event back until its blank line has come, and remembers the id of the last whole event. */
export class EventStreamSplitter {
    /** Id of the last whole event. */
    lastEventId: string | undefined;
    private partialEvent: Buffer = Buffer.alloc(0);

    /** Whether bytes of an event are held that is not whole. */
    get hasPartialEvent(): boolean {
        return this.partialEvent.length > 0;
    }

    /** Drops the bytes of an event that will not become whole. */
    dropPartialEvent(): void {
        this.partialEvent = Buffer.alloc(0);
    }

    /**
     * Takes the next bytes.
     *
     * @throws {RangeError} When an event is longer than 1,048,576 bytes.
     */
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
        if (this.partialEvent.length > MAX_EVENT_BYTES) {
            throw new RangeError(`Cannot read event: it is longer than ${MAX_EVENT_BYTES} bytes`);
        }
        return { bytes: data.subarray(0, end), count };
    }
}

/** @returns Offset behind the next blank line, or -1. */
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

function readEventId(data: Buffer, start: number, end: number): string | undefined {
    for (const line of data.toString("latin1", start, end).split("\n")) {
        if (line.startsWith(ID_FIELD)) {
            return line.slice(ID_FIELD.length).trim();
        }
    }
    return undefined;
}
