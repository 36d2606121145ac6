/**
 * Client that sends requests as they are on the wire.
 *
 * @module
 */

import { Agent, request } from "node:http";

/** Host of all routes. */
export const HOST = "ficu95.example";

/** Key of the clients. */
export const KEY = "i9n73hh2b9wu3fexd9dn";

/**
 * Sends one request; never fails.
 *
 * @returns {Promise<{ status: number, body: string, isComplete: boolean, headers: object, error: string, elapsedMs: number }>} The
 * answer; status 0 without one.
 */
export function send({ port, id, path, method = "POST", headers = {}, body = "", agent, limitMs = 15_000, gapMs = 0, paceMs = 0, chunkBytes = 0 }) {
    const startMs = performance.now();
    return new Promise(resolve => {
        let answer;
        let text = "";
        let error = "";
        const finish = isComplete => {
            clearTimeout(timer);
            clearTimeout(gap);
            resolve({
                status: answer?.statusCode ?? 0,
                headers: answer?.headers ?? {},
                body: text,
                isComplete,
                error,
                elapsedMs: Math.round(performance.now() - startMs),
            });
        };
        const outgoing = request({
            host: "127.0.0.1",
            port,
            path,
            method,
            agent: agent ?? false,
            headers: {
                "Host": HOST,
                "Request-Id": id,
                "Api-Key": KEY,
                "Deadline-Ms": String(limitMs),
                ...(method === "GET" ? {} : { "Content-Length": Buffer.byteLength(body) }),
                ...headers,
            },
        }, response => {
            answer = response;
            response.on("data", data => {
                text += data;
                watchGap();
            });
            response.on("error", cause => error = String(cause));
            response.on("close", () => finish(response.complete));
        });
        let gap;
        const watchGap = () => {
            clearTimeout(gap);
            gap = gapMs > 0 ? setTimeout(() => outgoing.destroy(new Error("gap")), gapMs) : undefined;
        };
        watchGap();
        const timer = setTimeout(() => outgoing.destroy(new Error("given up")), limitMs);
        outgoing.on("error", cause => {
            error = String(cause);
            if (answer === undefined) {
                finish(false);
            }
        });
        if (chunkBytes > 0) {
            void writePaced(outgoing, Buffer.from(body), chunkBytes, paceMs);
        }
        else {
            outgoing.end(body);
        }
    });
}

async function writePaced(outgoing, body, chunkBytes, paceMs) {
    for (let start = 0; start < body.length && !outgoing.destroyed; start += chunkBytes) {
        outgoing.write(body.subarray(start, start + chunkBytes));
        await new Promise(resolve => setTimeout(resolve, paceMs));
    }
    outgoing.end();
}

/** Returns an agent that keeps one connection open. */
export function keptConnection() {
    return new Agent({ keepAlive: true, maxSockets: 1 });
}

/** Waits. */
export function sleep(durationMs) {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
