// Caller that sends one request at a time on a connection of its own and reads the answer to its end.

import { request as httpRequest } from "node:http";

/**
 * Sends a request; resolves with `{ sentAtMs, endedAtMs, status, headers, body, isWhole, isReset }`.
 *
 * @param node Node to which it goes.
 * @param call `id`, `host`, `path`, `method`, `headers`, `body`, `deadlineMs`, `leaveMs`: time after which the caller leaves.
 */
export function send(node, call) {
    const sentAtMs = performance.now();
    return new Promise(resolve => {
        const finish = result => {
            clearTimeout(timer);
            resolve({ sentAtMs, endedAtMs: performance.now(), status: 0, headers: {}, body: "", isWhole: false, ...result });
        };
        const request = httpRequest({
            host: node.host,
            port: node.port,
            agent: false,
            method: call.method ?? "POST",
            path: call.path,
            headers: {
                Host: call.host,
                "Request-Id": call.id,
                "Deadline-Ms": String(call.deadlineMs),
                ...call.headers,
                ...call.body === undefined ? {} : { "Content-Length": Buffer.byteLength(call.body) },
            },
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("close", () => {
                finish({
                    status: response.statusCode,
                    headers: response.headers,
                    body: Buffer.concat(chunks).toString("latin1"),
                    isWhole: response.complete,
                });
            });
            response.on("error", () => undefined);
        });
        const timer = setTimeout(() => request.destroy(), (call.leaveMs ?? call.deadlineMs) + 500);
        request.on("error", error => finish({ error: error.code ?? error.message }));
        request.end(call.body);
    });
}
