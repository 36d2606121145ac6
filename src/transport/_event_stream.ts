/**
 * Reading of server-sent events.
 *
 * After the HTML standard, section 9.2.6 "Interpreting an event stream"; only the `data` field is used.
 *
 * @module
 */

/** Longest event that is read, in characters. */
const MAX_EVENT_LENGTH = 1_048_576;

/**
 * Reads the data of each whole event; a last event without its blank line is dropped.
 *
 * @param body Bytes of the stream.
 * @throws {RangeError} When an event is longer than 1,048,576 characters.
 */
export async function* readEventStream(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const chunk of body) {
        rest += decoder.decode(chunk, { stream: true });
        let end = rest.indexOf("\n\n");
        while (end >= 0) {
            yield eventData(rest.slice(0, end));
            rest = rest.slice(end + 2);
            end = rest.indexOf("\n\n");
        }
        if (rest.length > MAX_EVENT_LENGTH) {
            throw new RangeError(`Cannot read event: it is longer than ${MAX_EVENT_LENGTH} characters`);
        }
    }
}

function eventData(event: string): string {
    const lines = event.split("\n").filter(line => line.startsWith("data:"));
    return lines.map(line => line.slice("data:".length).trimStart()).join("\n");
}
