/**
 * Interim heads for callers that wait for one before they send the body of a call (RFC 9110, section 10.1.1).
 *
 * The HTTP library queues an interim head behind the earlier answers of a connection, and puts the final head of a body of bytes in front of
 * what is queued.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { afterArrivedInput } from "../state/mod.js";

/** Writes the interim heads of a server in place of the HTTP library, each in the turn of its answer and in front of it. */
export class InterimHeads {
    /** Responses to calls that expect an interim head and have not got one. */
    private readonly expected = new WeakSet<ServerResponse>();

    /** @param server Server, to which calls that expect an interim head come like all others. */
    constructor(server: Server) {
        server.on("checkContinue", (request, response) => {
            this.expected.add(response);
            server.emit("request", request, response);
        });
    }

    /**
     * Writes the interim head, if the call expects one, once its answer has its turn on the connection. It is left out when the body has
     * begun by then, or the final head is written.
     *
     * @param response Response to a call that gets an answer.
     */
    prepare(request: IncomingMessage, response: ServerResponse): void {
        if (!this.expected.has(response)) {
            return;
        }
        // The body may have arrived with the head.
        afterArrivedInput(() => {
            if (response.socket) {
                this.write(request, response);
                return;
            }
            response.once("socket", () => this.write(request, response));
        });
    }

    /**
     * Gives up the interim head, as the final head is about to be written.
     *
     * @returns Whether the connection has to close after the answer: the caller may leave out the body that it announced.
     */
    giveUp(request: IncomingMessage, response: ServerResponse): boolean {
        if (!this.expected.delete(response)) {
            return false;
        }
        if (!hasBegun(request)) {
            return true;
        }
        // Otherwise the library closes the connection of a call that expects an interim head and has not got one.
        Reflect.set(response, "_expect_continue", false);
        return false;
    }

    private write(request: IncomingMessage, response: ServerResponse): void {
        if (!response.headersSent && !hasBegun(request) && this.expected.delete(response)) {
            response.writeContinue();
        }
    }
}

/** Returns whether a part of a body, or the end of a call without one, has been read. */
function hasBegun(request: IncomingMessage): boolean {
    return request.complete || request.readableDidRead || request.readableLength > 0;
}
