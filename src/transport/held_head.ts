/**
 * Head of a call whose body has not come.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

/** Separates names and values, which contain no line breaks (RFC 9110, section 5.5). */
const SEPARATOR = "\n";

/**
 * Names and values of a head in one block of bytes.
 *
 * The HTTP library keeps each name and value as an object, and most of them twice: a head of 300 short fields takes 40 KB of the heap for
 * as long as its body does not come.
 */
export class HeldHead {
    /** Size of the names and values on the wire, in bytes. */
    readonly headerBytes: number;
    /** Size of the head, including the target, in bytes. */
    readonly bytes: number;
    private readonly text: Buffer;

    /** @param request Request from which the head is taken; it has no headers afterwards. */
    constructor(request: IncomingMessage) {
        const { rawHeaders, url = "" } = request;
        // Each name is followed by a colon and a space, each value by CRLF; the HTTP parser decodes headers as Latin-1.
        this.headerBytes = rawHeaders.reduce((bytes, text) => bytes + text.length + 2, 0);
        this.bytes = this.headerBytes + url.length;
        const text = rawHeaders.join(SEPARATOR);
        // A slice of the shared pool would keep the pool in memory.
        this.text = Buffer.allocUnsafeSlow(text.length);
        this.text.write(text, "latin1");
        dropHead(request);
    }

    /** Returns the names and values, alternating. */
    list(): readonly string[] {
        return this.text.length === 0 ? [] : this.text.toString("latin1").split(SEPARATOR);
    }
}

/** Removes the headers of a request, which stays in memory until the rest of its body has come. */
export function dropHead(request: IncomingMessage): void {
    request.rawHeaders = [];
    request.headers = {};
}
