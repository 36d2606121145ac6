/**
 * HTTP server shared by all stand-in processes.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

/** Request to a stand-in with its complete body. */
export interface StandInRequest {
    readonly method: string;
    readonly url: URL;
    readonly headers: IncomingMessage["headers"];
    readonly body: Buffer;
    readonly response: ServerResponse;
}

/** Handles one request; an error is answered with status 503. */
export type StandInHandler = (request: StandInRequest) => Promise<void>;

/**
 * Starts the HTTP server of a stand-in on the loopback interface.
 *
 * @param port Port to listen on.
 * @param handler Handles each request.
 */
export async function serveStandIn(port: number, handler: StandInHandler): Promise<Server> {
    const server = createServer({ noDelay: true, keepAliveTimeout: 60_000 }, (message, response) => {
        void handleRequest(message, response, handler);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host: "127.0.0.1", port, backlog: 1_024 }, resolve);
    });
    return server;
}

/** Sends a value as a JSON response with status 200. */
export function sendJson(response: ServerResponse, value: unknown): void {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(value));
}

/** Merges the faults in the request body into the current ones, and answers with all of them. */
export function setFaults(request: StandInRequest, faults: object): void {
    Object.assign(faults, JSON.parse(request.body.toString("utf8")));
    sendJson(request.response, faults);
}

async function handleRequest(message: IncomingMessage, response: ServerResponse, handler: StandInHandler): Promise<void> {
    try {
        const chunks: Buffer[] = [];
        for await (const chunk of message as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
        const url = new URL(message.url ?? "/", "http://stand-in");
        const body = Buffer.concat(chunks);
        await handler({ method: message.method ?? "GET", url, headers: message.headers, body, response });
    }
    catch (error) {
        if (!response.headersSent) {
            response.writeHead(503, { "content-type": "text/plain" });
            response.end(String(error));
            return;
        }
        response.destroy();
    }
}
