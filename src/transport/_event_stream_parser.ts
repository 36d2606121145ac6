/**
 * Incremental parser of server-sent events.
 *
 * Follows the HTML standard, section 9.2.6 "Interpreting an event stream", but reads only the `data` field.
 *
 * @module
 */

/** Maximum length of an incomplete event, in characters. */
const MAX_EVENT_LENGTH = 1_048_576;

/** Splits a byte stream into events and decodes their data. */
export class EventStreamParser {
    private readonly decoder = new TextDecoder();
    private partialEvent = "";
    /** Whether the last chunk ended with CR, so that an LF at the start of the next one belongs to the same line end. */
    private endsWithCarriageReturn = false;

    /**
     * Appends a chunk of the stream.
     *
     * @returns Data of each event that the chunk completes; an event without its blank line is kept for the next call.
     * @throws {RangeError} If an incomplete event is longer than 1,048,576 characters.
     */
    push(chunk: Uint8Array): readonly string[] {
        const events = (this.partialEvent + this.readText(chunk)).split("\n\n");
        this.partialEvent = events.pop() ?? "";
        if (this.partialEvent.length > MAX_EVENT_LENGTH) {
            throw new RangeError(`Cannot read event: it is longer than ${MAX_EVENT_LENGTH} characters`);
        }
        return events.map(parseEventData);
    }

    /** Decodes a chunk and replaces each line end by LF. */
    private readText(chunk: Uint8Array): string {
        const text = this.decoder.decode(chunk, { stream: true });
        if (text === "") {
            return "";
        }
        const start = this.endsWithCarriageReturn && text.startsWith("\n") ? 1 : 0;
        this.endsWithCarriageReturn = text.endsWith("\r");
        return text.slice(start).replaceAll(/\r\n?/g, "\n");
    }
}

function parseEventData(event: string): string {
    if (event.startsWith("data:") && !event.includes("\n")) {
        return event.slice("data:".length).trimStart();
    }
    const lines = event.split("\n").filter(line => line.startsWith("data:"));
    return lines.map(line => line.slice("data:".length).trimStart()).join("\n");
}
