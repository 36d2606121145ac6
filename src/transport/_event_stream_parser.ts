/**
 * Reading of server-sent events.
 *
 * After the HTML standard, section 9.2.6 "Interpreting an event stream"; only the `data` field is used.
 *
 * @module
 */

/** Longest event that is read, in characters. */
const MAX_EVENT_LENGTH = 1_048_576;

/** Cuts a stream of bytes into events. */
export class EventStreamParser {
    private readonly decoder = new TextDecoder();
    private partialEvent = "";

    /**
     * Takes the next bytes.
     *
     * @returns Data of each event that is whole now; an event without its blank line waits for more.
     * @throws {RangeError} When an event is longer than 1,048,576 characters.
     */
    push(chunk: Uint8Array): readonly string[] {
        const events = (this.partialEvent + this.decoder.decode(chunk, { stream: true })).split("\n\n");
        this.partialEvent = events.pop() ?? "";
        if (this.partialEvent.length > MAX_EVENT_LENGTH) {
            throw new RangeError(`Cannot read event: it is longer than ${MAX_EVENT_LENGTH} characters`);
        }
        return events.map(parseEventData);
    }
}

function parseEventData(event: string): string {
    if (event.startsWith("data:") && !event.includes("\n")) {
        return event.slice("data:".length).trimStart();
    }
    const lines = event.split("\n").filter(line => line.startsWith("data:"));
    return lines.map(line => line.slice("data:".length).trimStart()).join("\n");
}
