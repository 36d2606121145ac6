/**
 * Bytes of the answers of servers and peers, and the ids of the calls that they answer.
 *
 * @module
 */

import { DetourCall } from "../../src/protocol/relay/mod.js";

/** Returns the id of a call of a caller once its head and body have been read. */
export function readCallId(request: Buffer): string | undefined {
    return readBody(request) === undefined ? undefined : /request-id: ([^\r]*)/i.exec(String(request))?.[1];
}

/** Returns the id of a call of a node. */
export function readDetourId(request: Buffer): string | undefined {
    const body = readBody(request);
    if (body === undefined) {
        return undefined;
    }
    const { headers } = DetourCall.decode(body);
    return headers[headers.findIndex(name => name.toLowerCase() === "request-id") + 1];
}

function readBody(request: Buffer): Buffer | undefined {
    const end = request.indexOf("\r\n\r\n");
    const length = Number(/content-length: (\d+)/i.exec(request.toString("latin1"))?.[1] ?? 0);
    const body = request.subarray(end + 4);
    return end < 0 || body.length < length ? undefined : body;
}

/** Returns the body of the complete answer to a call. */
export function formatBody(id: string): string {
    return `answer to ${id}`;
}

/** Returns the events of the answer to a call. */
export function formatEvents(id: string): string {
    return `id: 1\ndata: ${id}\n\nid: 2\ndata: ${id}\n\n`;
}

function formatHead(status: number, id: string, framing: string): string {
    return `HTTP/1.1 ${status} Status\r\nRequest-Id: ${id}\r\nResponse-Seal: seal\r\n${framing}\r\n\r\n`;
}

/** Formats a complete answer with its length. */
export function formatWholeAnswer(id: string): string {
    const body = formatBody(id);
    return formatHead(200, id, `Content-Length: ${body.length}`) + body;
}

/** Formats an answer in one chunk. */
export function formatChunkedAnswer(id: string, body: string): string {
    return `${formatHead(200, id, "Transfer-Encoding: chunked")}${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
}

/** Formats a server's refusal, which states that the call has not run. */
export function formatServerRefusal(id: string): string {
    return `HTTP/1.1 503 Status\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
}

/** Formats a peer's own refusal. */
export function formatPeerRefusal(id: string): string {
    return `HTTP/1.1 503 Status\r\nFoxtailrail-Call: ${id}\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n`;
}
