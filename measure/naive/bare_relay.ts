/**
 * Minimal reverse proxy made of Node's `http` server and an `undici` client, as a baseline for the daemon.
 *
 * @module
 */

import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { fileURLToPath } from "node:url";
import { Pool } from "undici";

/** Path of this file, which runs as a program. */
export const BARE_RELAY_PROGRAM = fileURLToPath(import.meta.url);

/** Maximum number of connections to the backend server. */
const MAX_CONNECTIONS = 256;

async function relayRequest(pool: Pool, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    const answer = await pool.request({
        method: request.method as "POST",
        path: request.url ?? "/",
        headers: { "content-type": request.headers["content-type"] ?? "application/json" },
        body: chunks.length > 0 ? Buffer.concat(chunks) : undefined,
    });
    response.writeHead(answer.statusCode, { "content-type": String(answer.headers["content-type"]) });
    answer.body.pipe(response);
}

if (process.argv[1] === BARE_RELAY_PROGRAM) {
    const pool = new Pool(`http://127.0.0.1:${process.argv[3]}`, { connections: MAX_CONNECTIONS });
    const server = createServer({ noDelay: true }, (request, response) => void relayRequest(pool, request, response));
    server.listen(Number(process.argv[2]), "127.0.0.1");
}
