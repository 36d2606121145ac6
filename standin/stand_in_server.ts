/**
 * HTTP server that the stand-in processes share.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

/** Request of a stand-in, with its body read. */
export interface StandInRequest {
    readonly method: string;
    readonly url: URL;
    readonly headers: IncomingMessage["headers"];
    readonly body: Buffer;
    readonly response: ServerResponse;
}

/** Answers one request; throwing answers with status 503. */
export type StandInHandler = (request: StandInRequest) => Promise<void>;

/**
 * Starts a stand-in's server on loopback.
 *
 * @param port Port to listen on.
 * @param answer Answers each request.
 */
export async function serveStandIn(port: number, answer: StandInHandler): Promise<Server> {
    const server = createServer({ noDelay: true, keepAliveTimeout: 60_000 }, (message, response) => {
        void handleRequest(message, response, answer);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host: "127.0.0.1", port, backlog: 1_024 }, resolve);
    });
    return server;
}

/** Writes a value as the whole JSON answer. */
export function sendJson(response: ServerResponse, value: unknown): void {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(value));
}

/** Sets the faults that the body names, and answers with all of them. */
export function setFaults(request: StandInRequest, faults: object): void {
    Object.assign(faults, JSON.parse(request.body.toString("utf8")));
    sendJson(request.response, faults);
}

async function handleRequest(message: IncomingMessage, response: ServerResponse, answer: StandInHandler): Promise<void> {
    try {
        const chunks: Buffer[] = [];
        for await (const chunk of message as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
        const url = new URL(message.url ?? "/", "http://stand-in");
        const body = Buffer.concat(chunks);
        await answer({ method: message.method ?? "GET", url, headers: message.headers, body, response });
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
