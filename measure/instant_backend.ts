/**
 * Backend server that answers without delay, so that an experiment measures only the overhead of the proxy and the network.
 *
 * @module
 */

import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { fileURLToPath } from "node:url";

/** Number of tokens in each model answer. */
export const ANSWER_TOKENS = 16;

/** Path of this file, which runs as a program. */
export const INSTANT_BACKEND_PROGRAM = fileURLToPath(import.meta.url);

/** Body of each answer of a plain service. */
const SERVICE_ANSWER = JSON.stringify({ done: true });

async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    for await (const chunk of request) {
        void chunk;
    }
    const id = String(request.headers["x-request-id"] ?? "relay");
    if (request.url === "/load") {
        const report = { version: "1.0", engineClass: "g5", waiting: 0, running: 0, waitingTokens: 0, atMs: Date.now() };
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(report));
        return;
    }
    if (request.url !== "/v1/generate") {
        response.writeHead(200, { "content-type": "application/json", "x-request-id": id }).end(SERVICE_ANSWER);
        return;
    }
    response.writeHead(200, { "content-type": "text/event-stream" });
    for (let index = 0; index < ANSWER_TOKENS; index++) {
        response.write(`data: ${JSON.stringify({ id, token: { index, text: `token ${index} ` } })}\n\n`);
    }
    const end = { finishReason: "stop", cachedTokens: 0, promptTokens: 8, outputTokens: ANSWER_TOKENS };
    response.end(`data: ${JSON.stringify({ id, end })}\n\n`);
}

if (process.argv[1] === INSTANT_BACKEND_PROGRAM) {
    const server = createServer(
        { noDelay: true, keepAliveTimeout: 60_000 },
        (request, response) => void handleRequest(request, response),
    );
    server.listen(Number(process.argv[2]), "127.0.0.1");
}
